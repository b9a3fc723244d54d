//! Restoring a controller from its log, and transitions between eras.
use crate::controller::Controller;
use crate::stored_records::Kept;
use caesar::{LogRecord, Machine};
use control_state::*;
use primitives::Mono;

impl Controller {
    /// Restores the state from the records on disk.
    pub(crate) fn wake(&mut self, stored: Vec<Kept>, now: Mono, out: &mut Vec<Out>) {
        let mut log_records: Vec<LogRecord<Cmd>> = vec![];
        for record in stored {
            match record {
                Kept::Unjoined(birth) => self.birth = birth,
                Kept::First => self.first = true,
                Kept::Base(birth, state) => {
                    self.birth = birth;
                    self.base = *state;
                    log_records.clear();
                }
                Kept::Whole(birth, state, records) => {
                    self.birth = birth;
                    self.base = *state;
                    log_records = records;
                }
                Kept::Agreement(era, record) if era == self.base.era => log_records.push(record),
                Kept::Agreement(..) => (),
            }
        }
        self.state = self.base.clone();
        self.assume_membership(now);
        let replay = |machine: &mut Machine<Cmd>, o: &mut Vec<_>| {
            log_records.into_iter().for_each(|record| machine.replay(record));
            machine.resume(now, o);
        };
        self.with_machine(now, out, replay);
        // Leases granted before the stop may still be valid: treat them all as granted just now.
        let until = now + self.env.lease.padded();
        self.assume_leases(until);
    }

    /// Starts a replica if the membership contains this disk, and stops it otherwise.
    fn assume_membership(&mut self, now: Mono) {
        let own_slot = self.state.member_at(self.env.addr, self.birth);
        let was_member = self.consensus.is_some();
        self.consensus = own_slot.map(|m| m.member_id).map(|member_id| {
            self.member_id = member_id;
            self.seated = if was_member { self.seated } else { now };
            Machine::new(
                member_id,
                self.state.members.iter().map(|m| m.member_id).collect(),
                self.env.pace,
                now,
            )
        });
    }

    /// Proposes to end the era and start the next one with these members.
    pub(crate) fn propose_next_era(&mut self, now: Mono, members: Vec<Member>, out: &mut Vec<Out>) {
        self.era_end_proposed_at = Some(now);
        let retired_up_to = self.retired_up_to();
        self.with_machine(now, out, |machine, o| {
            machine.propose(now, Cmd::Cut(members, retired_up_to), o);
        });
    }

    /// Starts an era from a snapshot. The snapshot is saved before any record of the new era.
    pub(crate) fn enter(&mut self, now: Mono, state: ControlState, out: &mut Vec<Out>) {
        let clock = self.consensus.as_ref().map_or(0, |m| m.clock()).max(state.clock);
        let tally = self.tally();
        self.base = state.clone();
        self.state = state;
        self.lagging_subscribers.clear();
        self.in_force_requesters.clear();
        self.unconfirmed.clear();
        self.heard.clear();
        self.era_end_proposed_at = None;
        self.save_base(out);
        self.transfer.receiver.cancel();
        let caught_up = self.caught_up();
        self.assume_membership(now);
        self.with_machine(now, out, |machine, o| {
            machine.tally = tally;
            machine.advance_clock(clock, o);
            if caught_up {
                machine.mark_caught_up();
            }
        });
        self.count("eras");
        out.push(Out::Note("a new era started"));
        if self.consensus.is_none() {
            out.push(Out::Alarm("this controller is not a member of the new era"));
        }
        let pending = std::mem::take(&mut self.pending);
        pending.into_values().for_each(|change| self.again(now, change, out));
        self.repropose_readings(now, out);
    }

    /// Keys whose items in `other` differ from this controller's state.
    pub(crate) fn differs(&self, other: &ControlState) -> Vec<Key> {
        let differing = |(key, item): &(&Key, &Item)| self.state.items.get(*key) != Some(item);
        other.items.iter().filter(differing).map(|(key, _)| key.clone()).collect()
    }

    /// Replaces this controller's state with that of a later era.
    pub(crate) fn adopt(&mut self, now: Mono, state: ControlState, out: &mut Vec<Out>) {
        let is_member = state.member_at(self.env.addr, self.birth).is_some();
        if state.era <= self.base.era || !(is_member || self.consensus.is_some()) {
            return;
        }
        let changed_keys = self.differs(&state);
        self.count("adopted");
        self.enter(now, state, out);
        // This controller may have been away for long, so it catches up with its peers again.
        self.consensus.as_mut().into_iter().for_each(|m| m.restart_catch_up(now));
        self.number(&changed_keys, None);
    }
}
