//! Waking on the disk's records, eras, and catching up by picture.
use crate::controller::Controller;
use crate::recs::Kept;
use caesar::{Kid, Machine, Rec, Wag};
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};

impl Controller {
    pub(crate) fn wake(&mut self, kept: Vec<Kept>, now: Mono, out: &mut Vec<Out>) {
        let mut recs: Vec<Rec<Cmd>> = vec![];
        for k in kept {
            match k {
                Kept::Blank(b) => self.birth = b,
                Kept::First => self.first = true,
                Kept::Base(b, p) => {
                    self.birth = b;
                    self.base = *p;
                    recs.clear();
                }
                Kept::Whole(b, p, all) => {
                    self.birth = b;
                    self.base = *p;
                    recs = all;
                }
                Kept::Wag(era, r) if era == self.base.era => recs.push(r),
                Kept::Wag(..) => (),
            }
        }
        self.pic = self.base.clone();
        self.seat(now);
        let replay = |m: &mut Machine<Cmd>, o: &mut Vec<_>| {
            recs.into_iter().for_each(|r| m.replay(r));
            m.resume(now, o);
        };
        self.with_machine(now, out, replay);
        // Leases given before the stop may still run: as if all were given just now.
        let until = now + self.env.lease.padded();
        self.assume_lent(until);
    }

    /// Takes the seat that the roster of the picture gives this disk, if any.
    fn seat(&mut self, now: Mono) {
        let mine = self.pic.members.iter().find(|m| m.addr == self.env.addr && m.birth == self.birth);
        let had = self.mach.is_some();
        self.mach = mine.map(|m| m.kid).map(|kid| {
            self.kid = kid;
            self.seated = if had { self.seated } else { now };
            Machine::new(kid, self.pic.members.iter().map(|m| m.kid).collect(), self.env.pace, now)
        });
    }

    /// Starts an era from a picture: the picture first, all later records after it.
    pub(crate) fn enter(&mut self, now: Mono, p: Picture, out: &mut Vec<Out>) {
        let clock = self.mach.as_ref().map_or(0, |m| m.clock()).max(p.clock);
        let tally = self.tally();
        self.base = p.clone();
        self.pic = p;
        self.written = 0;
        self.owed.clear();
        self.hidden.clear();
        self.heard.clear();
        let looks = std::mem::take(&mut self.looks);
        out.extend(looks.into_values().map(|t| Out::Tell(t, Receipt::NotNow("the era ended; ask again"))));
        self.cutting = None;
        out.push(Out::Base(Kept::Base(self.birth, Box::new(self.base.clone())).encode()));
        self.seat(now);
        self.with_machine(now, out, |m, o| {
            m.tally = tally;
            m.start_above(clock, o);
        });
        self.count("eras");
        out.push(Out::Note("an era began"));
        if self.mach.is_none() {
            out.push(Out::Alarm("the new roster has no seat for this controller"));
        }
        let open = std::mem::take(&mut self.pending);
        open.into_values().for_each(|p| self.again(now, p, out));
    }

    /// What a picture has otherwise than the state now.
    pub(crate) fn differs(&self, p: &Picture) -> Vec<Key> {
        let other = |(k, it): &(&Key, &Item)| self.pic.items.get(*k) != Some(it);
        p.items.iter().filter(other).map(|(k, _)| k.clone()).collect()
    }

    /// A picture of a later era replaces what this controller has.
    pub(crate) fn adopt(&mut self, now: Mono, p: Picture, out: &mut Vec<Out>) {
        let mine = p.members.iter().any(|m| m.addr == self.env.addr && m.birth == self.birth);
        if p.era <= self.base.era || !(mine || self.mach.is_some()) {
            return;
        }
        let news = self.differs(&p);
        self.count("adopted");
        self.enter(now, p, out);
        self.number(&news, None);
    }

    pub(crate) fn on_wag(
        &mut self,
        now: Mono,
        from: Addr,
        era: Era,
        kid: Kid,
        w: Wag<Cmd>,
        out: &mut Vec<Out>,
    ) {
        if era == self.base.era {
            if self.heard.insert(kid) {
                self.push(now, out);
            }
            self.with_machine(now, out, |m, o| m.take(now, kid, w, o));
        } else if self.hush(from, now) {
            out.push(if era > self.base.era {
                Out::Send(from, Msg::WantPicture(self.base.era, self.birth))
            } else {
                Out::Send(from, Msg::Picture(Box::new(self.base.clone())))
            });
        }
    }

    /// At most one picture or wish per address in a while.
    fn hush(&mut self, to: Addr, now: Mono) -> bool {
        let was = self.said.entry(to).or_default();
        let due = now - *was >= Span::ms(200);
        if due {
            *was = now;
        }
        due
    }

    pub(crate) fn on_want(&mut self, from: Addr, era: Era, birth: Birth, out: &mut Vec<Out>) {
        let known = self.base.members.iter().any(|m| m.birth == birth) || era.0 > 0;
        if known && era < self.base.era {
            out.push(Out::Send(from, Msg::Picture(Box::new(self.base.clone()))));
        }
    }

    /// Writes the era anew in short before the ring fills up.
    pub(crate) fn shorten(&mut self, out: &mut Vec<Out>) {
        let m = self.mach.as_ref().filter(|_| self.written > self.env.base_after);
        if let Some(recs) = m.map(|m| m.dump()) {
            self.written = 0;
            self.count("shortened");
            let whole = Kept::Whole(self.birth, Box::new(self.base.clone()), recs);
            out.push(Out::Base(whole.encode()));
        }
    }

    /// Ends the era once it has grown; the holder of the duty sees to it.
    pub(crate) fn maybe_cut(&mut self, now: Mono, out: &mut Vec<Out>) {
        let size = self.mach.as_ref().map_or(0, |m| m.size());
        // The others step in when the holder leaves it undone.
        let due =
            (size >= self.env.cut_at && self.duty.held(now)) || size >= self.env.cut_at + self.env.cut_at / 4;
        // A roster that landed is forgotten by a cut: kept, it would hold up a restart of
        // all, which must take every lease for alive.
        let past = !self.base.past.is_empty() && self.all_landed() && now - self.seated > Span::secs(2);
        let tidy = self.env.open.is_some() && past && self.duty.held(now);
        let lately = self.cutting.is_some_and(|t| now - t < Span::secs(2));
        if (due || tidy) && !lately {
            self.cutting = Some(now);
            let (members, landed) = (self.pic.members.clone(), self.landed_to());
            self.with_machine(now, out, |m, o| {
                m.propose(now, Cmd::Cut(members, landed), o);
            });
        }
    }
}
