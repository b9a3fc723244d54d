//! Members behind the era: offering, pulling and adopting the state it starts from.
use crate::controller::Controller;
use crate::snapshot_transfer::{Piece, Progress};
use caesar::{Machine, MemberId, Message};
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};

/// At most one offer or wish per address in so long.
const HUSH: Span = Span::ms(200);
/// A member that makes no progress in catching up for so long starts feeds all the same.
const FEED_ANYWAY: Span = Span::secs(5);

impl Controller {
    /// Whether it may lead and renew leases: it has a seat in the era, and all that a
    /// classic quorum of the era held as stable at some moment after its return.
    pub(crate) fn caught_up(&self) -> bool {
        self.consensus.as_ref().is_some_and(|m| m.caught_up())
    }

    /// Whether it starts feeds: what it knows before it has caught up would take up the
    /// link that it catches up by. Where too few are there to catch up with, subscribers
    /// still get what there is, after a while.
    pub(crate) fn may_start_streams(&self, now: Mono) -> bool {
        let stuck = |m: &Machine<Cmd>| now - m.last_catch_up_progress() >= FEED_ANYWAY;
        let alone = !self.transfer.receiver.active() && self.consensus.as_ref().is_some_and(stuck);
        self.caught_up() || alone
    }

    pub(crate) fn on_agreement(
        &mut self,
        now: Mono,
        from: Addr,
        era: Era,
        member_id: MemberId,
        w: Message<Cmd>,
        out: &mut Vec<Out>,
    ) {
        if era == self.base.era {
            if self.heard.insert(member_id) {
                self.push(now, out);
            }
            self.with_machine(now, out, |m, o| m.take(now, member_id, w, o));
        } else if era < self.base.era {
            if self.hush(from, now) {
                self.offer_snapshot(now, from, out);
            }
        } else if !self.transfer.receiver.active() && self.hush(from, now) {
            out.push(Out::Send(from, Msg::WantSnapshot(self.base.era, self.birth)));
        }
    }

    fn hush(&mut self, to: Addr, now: Mono) -> bool {
        let was = self.said.entry(to).or_default();
        let due = now - *was >= HUSH;
        if due {
            *was = now;
        }
        due
    }

    /// Tells a member that it is behind, and what it can pull from here.
    pub(crate) fn offer_snapshot(&mut self, now: Mono, to: Addr, out: &mut Vec<Out>) {
        let offer = self.transfer.sender.offer(now, &self.base);
        out.push(Out::Send(to, Msg::Snapshot(Box::new(offer))));
    }

    pub(crate) fn on_want(&mut self, now: Mono, from: Addr, era: Era, birth: Birth, out: &mut Vec<Out>) {
        let known = self.base.members.iter().any(|m| m.birth == birth) || era.0 > 0;
        if known && era < self.base.era {
            self.offer_snapshot(now, from, out);
        } else {
            self.send_membership(from, out);
        }
    }

    pub(crate) fn on_snapshot(&mut self, now: Mono, from: Addr, m: SnapshotMessage, out: &mut Vec<Out>) {
        let era = self.base.era;
        let receiver = &mut self.transfer.receiver;
        let progress = match m {
            SnapshotMessage::Request { id, offset } => {
                self.transfer.sender.on_request(from, id, offset);
                return self.serve_snapshots(now, out);
            }
            SnapshotMessage::Offer { id, clock } => receiver.on_offer(now, from, id, clock, era),
            SnapshotMessage::Piece { id, clock, offset, bytes } => {
                receiver.on_piece(now, from, Piece { id, clock, offset, bytes }, era)
            }
        };
        self.go_on(now, progress, out);
    }

    fn go_on(&mut self, now: Mono, progress: Progress, out: &mut Vec<Out>) {
        match progress {
            Progress::Nothing => (),
            Progress::Ask((to, request)) => out.push(Out::Send(to, Msg::Snapshot(Box::new(request)))),
            Progress::Whole(state) if self.is_learner_snapshot(&state) => {
                self.save_learner_snapshot(*state, out)
            }
            Progress::Whole(state) => self.adopt(now, *state, out),
            Progress::DigestMismatch => {
                self.count("snapshots spoiled");
                out.push(Out::Alarm("a snapshot came whole and fails its digest: asking for it anew"));
            }
        }
    }

    fn serve_snapshots(&mut self, now: Mono, out: &mut Vec<Out>) {
        let letter = self.transfer.sender.tick(now, &self.base);
        out.extend(letter.map(|(to, m)| Out::Send(to, Msg::Snapshot(Box::new(m)))));
    }

    pub(crate) fn push_snapshots(&mut self, now: Mono, out: &mut Vec<Out>) {
        self.serve_snapshots(now, out);
        let progress = self.transfer.receiver.tick(now);
        self.go_on(now, progress, out);
    }
}
