//! Waking on the disk's records, and eras.
use crate::controller::Controller;
use crate::stored_records::Kept;
use caesar::{LogRecord, Machine};
use control_state::*;
use primitives::Mono;

impl Controller {
    pub(crate) fn wake(&mut self, kept: Vec<Kept>, now: Mono, out: &mut Vec<Out>) {
        let mut recs: Vec<LogRecord<Cmd>> = vec![];
        for k in kept {
            match k {
                Kept::Unjoined(b) => self.birth = b,
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
                Kept::Agreement(era, r) if era == self.base.era => recs.push(r),
                Kept::Agreement(..) => (),
            }
        }
        self.state = self.base.clone();
        self.seat(now);
        let replay = |m: &mut Machine<Cmd>, o: &mut Vec<_>| {
            recs.into_iter().for_each(|r| m.replay(r));
            m.resume(now, o);
        };
        self.with_machine(now, out, replay);
        // Leases given before the stop may still run: as if all were given just now.
        let until = now + self.env.lease.padded();
        self.assume_leases(until);
    }

    /// Takes the seat that the membership gives this disk, if any.
    fn seat(&mut self, now: Mono) {
        let mine = self.state.member_at(self.env.addr, self.birth);
        let had = self.consensus.is_some();
        self.consensus = mine.map(|m| m.member_id).map(|member_id| {
            self.member_id = member_id;
            self.seated = if had { self.seated } else { now };
            Machine::new(
                member_id,
                self.state.members.iter().map(|m| m.member_id).collect(),
                self.env.pace,
                now,
            )
        });
    }

    /// Proposes to end the era; the next one has these members.
    pub(crate) fn propose_next_era(&mut self, now: Mono, members: Vec<Member>, out: &mut Vec<Out>) {
        self.era_end_proposed_at = Some(now);
        let landed = self.retired_up_to();
        self.with_machine(now, out, |m, o| {
            m.propose(now, Cmd::Cut(members, landed), o);
        });
    }

    /// Starts an era from a snapshot: it is saved first, all later records after it.
    pub(crate) fn enter(&mut self, now: Mono, p: ControlState, out: &mut Vec<Out>) {
        let clock = self.consensus.as_ref().map_or(0, |m| m.clock()).max(p.clock);
        let tally = self.tally();
        self.base = p.clone();
        self.state = p;
        self.lagging_subscribers.clear();
        self.in_force_requesters.clear();
        self.unconfirmed.clear();
        self.heard.clear();
        self.era_end_proposed_at = None;
        self.save_base(out);
        self.transfer.receiver.cancel();
        let caught_up = self.caught_up();
        self.seat(now);
        self.with_machine(now, out, |m, o| {
            m.tally = tally;
            m.advance_clock(clock, o);
            if caught_up {
                m.mark_caught_up();
            }
        });
        self.count("eras");
        out.push(Out::Note("an era began"));
        if self.consensus.is_none() {
            out.push(Out::Alarm("the new roster has no seat for this controller"));
        }
        let open = std::mem::take(&mut self.pending);
        open.into_values().for_each(|p| self.again(now, p, out));
        self.repropose_readings(now, out);
    }

    /// What another state has otherwise than this one.
    pub(crate) fn differs(&self, p: &ControlState) -> Vec<Key> {
        let other = |(k, it): &(&Key, &Item)| self.state.items.get(*k) != Some(it);
        p.items.iter().filter(other).map(|(k, _)| k.clone()).collect()
    }

    /// A state of a later era replaces what this controller has.
    pub(crate) fn adopt(&mut self, now: Mono, p: ControlState, out: &mut Vec<Out>) {
        let mine = p.member_at(self.env.addr, self.birth).is_some();
        if p.era <= self.base.era || !(mine || self.consensus.is_some()) {
            return;
        }
        let news = self.differs(&p);
        self.count("adopted");
        self.enter(now, p, out);
        // It may have been away for long: the others are asked anew.
        self.consensus.as_mut().into_iter().for_each(|m| m.restart_catch_up(now));
        self.number(&news, None);
    }
}
