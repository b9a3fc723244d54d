//! Steps the state machines and executes their outputs: disk sync first, then sends.
use crate::world::{Event, World};
use control_state::*;
use primitives::{Addr, Span};

impl World {
    /// Gives one input to the process at `a`; does nothing if it is down.
    pub fn step(&mut self, a: Addr, i: In) {
        let now = self.now;
        let Some(p) = self.procs.get_mut(&a) else { return };
        let clock = p.clock(now);
        let mut out = vec![];
        if let Some(part) = &mut p.part {
            part.part().step(clock, i, &mut out);
        }
        let is_new_answer = |o: &Out| {
            matches!(
                o,
                Out::Tell(
                    _,
                    NodeReply::Step(Step::Serve(_, AnswerSource::Origin | AnswerSource::Copy(_), _))
                )
            )
        };
        let served = out.iter().any(is_new_answer);
        let (immediate, ordered): (Vec<Out>, Vec<Out>) = out.into_iter().partition(Out::is_immediate);
        p.outbox.extend(ordered);
        immediate.into_iter().for_each(|o| self.execute(a, o));
        self.flush(a);
        self.check_edge(a, served);
    }

    pub(crate) fn flush(&mut self, a: Addr) {
        let (lo, hi) = self.plan.sync;
        let Some(p) = self.procs.get_mut(&a) else { return };
        if p.syncing || p.outbox.is_empty() {
            return;
        }
        let batch: Vec<Out> = p.outbox.drain(..).collect();
        if batch.iter().any(|o| matches!(o, Out::Save(_) | Out::Base(_) | Out::Trim(_))) {
            p.syncing = true;
            let life = p.life;
            let d = Span(p.slow.0 + self.rng.u64(lo..=hi));
            self.count("syncs");
            self.at(d, Event::Synced(a, life, batch));
        } else {
            batch.into_iter().for_each(|o| self.execute(a, o));
        }
    }

    pub(crate) fn synced(&mut self, a: Addr, life: u64, batch: Vec<Out>) {
        let Some(p) = self.procs.get_mut(&a) else { return };
        if p.life != life || p.part.is_none() {
            return;
        }
        if p.stalled {
            return self.at(Span::ms(20), Event::Synced(a, life, batch));
        }
        p.syncing = false;
        let room = if p.role == Role::Controller { self.plan.controller_disk } else { usize::MAX };
        for o in &batch {
            match o {
                Out::Base(b) => {
                    let held: usize = p.disk.iter().map(Vec::len).sum();
                    if held + b.len() > room {
                        let what = format!("{a}: {held} bytes and a base of {}", b.len());
                        self.rules.violated("a disk that could not hold it", what);
                    }
                    p.disk = vec![b.clone()]
                }
                Out::Save(b) => p.disk.push(b.clone()),
                Out::Trim(first_needed) => {
                    p.disk.drain(..(first_needed - p.trimmed_records) as usize);
                    p.trimmed_records = *first_needed;
                }
                _ => (),
            }
        }
        batch.into_iter().for_each(|o| self.execute(a, o));
        self.flush(a);
    }

    fn execute(&mut self, a: Addr, o: Out) {
        match o {
            Out::Send(to, m) | Out::SendNow(to, m) => self.deliver(a, to, m),
            Out::Tell(t, r) => self.record_reply(a, t, r),
            Out::Fetch(r) => {
                let life = self.procs[&a].life;
                self.at(Span(50), Event::Leave(a, life, r));
            }
            Out::Abandon(n) => {
                self.abandoned.insert((a, n));
            }
            Out::Read(message) => self.read(a, message),
            Out::Alarm(_) => self.count("alarms"),
            Out::Report(_) => self.count("reports"),
            Out::Save(_) | Out::Base(_) | Out::Trim(_) | Out::Note(_) => (),
        }
    }

    /// Reads the records that a message lacks from the disk of the process.
    fn read(&mut self, a: Addr, message: Box<StoredMessage>) {
        let (lo, hi) = self.plan.sync;
        let Some(p) = self.procs.get(&a) else { return };
        let record = |n: u64| p.disk.get(n.checked_sub(p.trimmed_records).map(|i| i as usize)?).cloned();
        let records = message.log_records().into_iter().map(record).collect();
        let (life, slow) = (p.life, p.slow);
        let span = Span(slow.0 + self.rng.u64(lo..=hi));
        self.at(span, Event::Read(a, life, message, records));
    }

    pub(crate) fn on_read(
        &mut self,
        a: Addr,
        life: u64,
        message: Box<StoredMessage>,
        records: Vec<Option<Vec<u8>>>,
    ) {
        if self.procs.get(&a).is_some_and(|p| p.life == life && p.part.is_some()) {
            self.step(a, In::Read(message, records));
        }
    }

    /// How long the sender's link takes to transmit the message and what is queued before it.
    fn link_delay(&mut self, from: Addr, to: Addr, m: &Msg) -> Span {
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

    fn deliver(&mut self, from: Addr, to: Addr, m: Msg) {
        if from == to {
            return self.at(Span(0), Event::Msg(from, to, m));
        }
        self.count("messages");
        self.count(m.kind());
        if self.cuts.contains(&(from, to)) || self.rng.f64() < self.plan.drop {
            return;
        }
        let queued = self.link_delay(from, to, &m);
        let d = Span(self.distance(from, to).0 + queued.0);
        if self.rng.f64() < self.plan.dup {
            let late = Span(d.0 * self.rng.u64(2..20));
            self.at(late, Event::Msg(from, to, m.clone()));
        }
        let d = d + self.processor_wait(to, d);
        self.at(d, Event::Msg(from, to, m));
    }

    /// Processing delay at the receiver of a message that arrives after `way`.
    fn processor_wait(&mut self, to: Addr, way: Span) -> Span {
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
