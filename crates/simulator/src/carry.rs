//! Steps parts and carries out what they ask for: sync, then send.
use crate::world::{Ev, World};
use control_state::*;
use primitives::{Addr, Span};

impl World {
    pub fn step(&mut self, a: Addr, i: In) {
        let now = self.now;
        let Some(p) = self.procs.get_mut(&a) else { return };
        let clock = p.clock(now);
        let mut out = vec![];
        if let Some(part) = &mut p.part {
            part.part().step(clock, i, &mut out);
        }
        let fresh = |o: &Out| {
            matches!(
                o,
                Out::Tell(
                    _,
                    NodeReply::Step(Step::Serve(_, AnswerSource::Origin | AnswerSource::Copy(_), _))
                )
            )
        };
        let served = out.iter().any(fresh);
        let (immediate, ordered): (Vec<Out>, Vec<Out>) = out.into_iter().partition(Out::is_immediate);
        p.line.extend(ordered);
        immediate.into_iter().for_each(|o| self.carry(a, o));
        self.flush(a);
        self.watch(a, served);
    }

    pub(crate) fn flush(&mut self, a: Addr) {
        let (lo, hi) = self.plan.sync;
        let Some(p) = self.procs.get_mut(&a) else { return };
        if p.syncing || p.line.is_empty() {
            return;
        }
        let batch: Vec<Out> = p.line.drain(..).collect();
        if batch.iter().any(|o| matches!(o, Out::Save(_) | Out::Base(_))) {
            p.syncing = true;
            let life = p.life;
            let d = Span(p.slow.0 + self.rng.u64(lo..=hi));
            self.count("syncs");
            self.at(d, Ev::Synced(a, life, batch));
        } else {
            batch.into_iter().for_each(|o| self.carry(a, o));
        }
    }

    pub(crate) fn synced(&mut self, a: Addr, life: u64, batch: Vec<Out>) {
        let Some(p) = self.procs.get_mut(&a) else { return };
        if p.life != life || p.part.is_none() {
            return;
        }
        if p.stalled {
            return self.at(Span::ms(20), Ev::Synced(a, life, batch));
        }
        p.syncing = false;
        let room = if p.role == Role::Controller { self.plan.controller_disk } else { usize::MAX };
        for o in &batch {
            match o {
                Out::Base(b) => {
                    let held: usize = p.disk.iter().map(Vec::len).sum();
                    if held + b.len() > room {
                        let what = format!("{a}: {held} bytes and a base of {}", b.len());
                        self.rules.broke("a disk that could not hold it", what);
                    }
                    p.disk = vec![b.clone()]
                }
                Out::Save(b) => p.disk.push(b.clone()),
                _ => (),
            }
        }
        batch.into_iter().for_each(|o| self.carry(a, o));
        self.flush(a);
    }

    fn carry(&mut self, a: Addr, o: Out) {
        match o {
            Out::Send(to, m) | Out::SendNow(to, m) => self.mail(a, to, m),
            Out::Tell(t, r) => self.told(a, t, r),
            Out::Fetch(r) => {
                let life = self.procs[&a].life;
                self.at(Span(50), Ev::Leave(a, life, r));
            }
            Out::Alarm(_) => self.count("alarms"),
            Out::Report(_) => self.count("reports"),
            Out::Save(_) | Out::Base(_) | Out::Note(_) => (),
        }
    }

    /// How long the sender's link takes until the message is through it.
    fn queued(&mut self, from: Addr, to: Addr, m: &Msg) -> Span {
        let rate = self.plan.links.get(&from).copied().or(self.plan.link);
        let Some(rate) = rate else { return Span(0) };
        let now = self.now;
        let Some(p) = self.procs.get_mut(&from) else { return Span(0) };
        let bytes = postcard::to_stdvec(m).map_or(0, |b| b.len() as u64);
        p.link_free = p.link_free.max(now) + Span(bytes * 1_000_000 / rate);
        let queued = p.link_free - now;
        let zone = |a: &Addr| self.procs.get(a).map(|p| p.zone.clone()).unwrap_or_default();
        let (here, there) = (zone(&from), zone(&to));
        self.bytes_between_regions += if here.region() == there.region() { 0 } else { bytes };
        self.bytes_between_zones += if here == there { 0 } else { bytes };
        self.procs.get_mut(&to).into_iter().for_each(|p| p.bytes_to += bytes);
        queued
    }

    fn mail(&mut self, from: Addr, to: Addr, m: Msg) {
        if from == to {
            return self.at(Span(0), Ev::Msg(from, to, m));
        }
        self.count("messages");
        self.count(m.kind());
        if self.cuts.contains(&(from, to)) || self.rng.f64() < self.plan.drop {
            return;
        }
        let queued = self.queued(from, to, &m);
        let d = Span(self.distance(from, to).0 + queued.0);
        if self.rng.f64() < self.plan.dup {
            let late = Span(d.0 * self.rng.u64(2..20));
            self.at(late, Ev::Msg(from, to, m.clone()));
        }
        let d = d + self.waits(to, d);
        self.at(d, Ev::Msg(from, to, m));
    }

    /// How long a message that arrives after `way` waits for its receiver's processor.
    fn waits(&mut self, to: Addr, way: Span) -> Span {
        let arrives = self.now + way;
        let work = self.plan.work.filter(|_| self.role_of(to) == Some(Role::Controller));
        let (Some(work), Some(p)) = (work, self.procs.get_mut(&to)) else { return Span(0) };
        p.processor_free = p.processor_free.max(arrives) + work;
        p.processor_free - arrives
    }

    fn role_of(&self, a: Addr) -> Option<Role> {
        self.procs.get(&a).map(|p| p.role)
    }
}
