//! Catch-up across eras: offering, requesting and adopting the state from which an era starts.
use crate::controller::Controller;
use crate::snapshot_transfer::{Piece, Progress};
use caesar::{Machine, MemberId, Message};
use control_state::*;
use primitives::{Addr, Birth, Mono, Span};

/// Minimum interval between snapshot offers or requests to one address.
const CONTACT_INTERVAL: Span = Span::ms(200);
/// A member whose catch-up has made no progress for this long starts update streams anyway.
const CATCH_UP_STALL: Span = Span::secs(5);

impl Controller {
    /// Whether this controller may lead and renew leases: it is a member of the era, and has
    /// everything that a classic quorum of the era held as stable at some moment after its return.
    pub(crate) fn caught_up(&self) -> bool {
        self.consensus.as_ref().is_some_and(|m| m.caught_up())
    }

    /// Whether this controller starts update streams. Streams of what it knows before it has caught
    /// up would occupy the link it catches up over. If too few members are reachable to catch up
    /// with, subscribers still get what there is after `CATCH_UP_STALL`.
    pub(crate) fn may_start_streams(&self, now: Mono) -> bool {
        let stuck = |m: &Machine<Cmd>| now - m.last_catch_up_progress() >= CATCH_UP_STALL;
        let cannot_catch_up = !self.transfer.receiver.active() && self.consensus.as_ref().is_some_and(stuck);
        self.caught_up() || cannot_catch_up
    }

    /// Handles a protocol message of an era. A sender behind this era is offered a snapshot; a
    /// sender ahead of it is asked for one.
    pub(crate) fn on_agreement(
        &mut self,
        now: Mono,
        from: Addr,
        era: Era,
        member_id: MemberId,
        message: Message<Cmd>,
        out: &mut Vec<Out>,
    ) {
        if era == self.base.era {
            if self.heard.insert(member_id) {
                self.push(now, out);
            }
            self.with_machine(now, out, |m, o| m.take(now, member_id, message, o));
        } else if era < self.base.era {
            if self.may_contact(from, now) {
                self.offer_snapshot(now, from, out);
            }
        } else if !self.transfer.receiver.active() && self.may_contact(from, now) {
            out.push(Out::Send(from, Msg::WantSnapshot(self.base.era, self.birth)));
        }
    }

    /// True at most once per `CONTACT_INTERVAL` for each address.
    fn may_contact(&mut self, to: Addr, now: Mono) -> bool {
        let last = self.said.entry(to).or_default();
        let due = now - *last >= CONTACT_INTERVAL;
        if due {
            *last = now;
        }
        due
    }

    /// Tells a member that it is behind, and which snapshot it can request here.
    pub(crate) fn offer_snapshot(&mut self, now: Mono, to: Addr, out: &mut Vec<Out>) {
        let offer = self.transfer.sender.offer(now, &self.base);
        out.push(Out::Send(to, Msg::Snapshot(Box::new(offer))));
    }

    /// Answers a snapshot request. A sender that is behind gets an offer if it is a member or has
    /// been part of an era; any other gets the membership.
    pub(crate) fn on_want(&mut self, now: Mono, from: Addr, era: Era, birth: Birth, out: &mut Vec<Out>) {
        let may_need_state = self.base.members.iter().any(|m| m.birth == birth) || era.0 > 0;
        if may_need_state && era < self.base.era {
            self.offer_snapshot(now, from, out);
        } else {
            self.send_membership(from, out);
        }
    }

    /// Handles a message of the snapshot transfer, on either side.
    pub(crate) fn on_snapshot(
        &mut self,
        now: Mono,
        from: Addr,
        message: SnapshotMessage,
        out: &mut Vec<Out>,
    ) {
        let era = self.base.era;
        let receiver = &mut self.transfer.receiver;
        let progress = match message {
            SnapshotMessage::Request { id, offset } => {
                self.transfer.sender.on_request(from, id, offset);
                return self.serve_snapshots(now, out);
            }
            SnapshotMessage::Offer { id, clock } => receiver.on_offer(now, from, id, clock, era),
            SnapshotMessage::Piece { id, clock, offset, bytes } => {
                receiver.on_piece(now, from, Piece { id, clock, offset, bytes }, era)
            }
        };
        self.handle_progress(now, progress, out);
    }

    fn handle_progress(&mut self, now: Mono, progress: Progress, out: &mut Vec<Out>) {
        match progress {
            Progress::Nothing => (),
            Progress::Request((to, request)) => out.push(Out::Send(to, Msg::Snapshot(Box::new(request)))),
            Progress::Complete(state) if self.is_learner_snapshot(&state) => {
                self.save_learner_snapshot(*state, out)
            }
            Progress::Complete(state) => self.adopt(now, *state, out),
            Progress::DigestMismatch => {
                self.count("snapshots spoiled");
                out.push(Out::Alarm("snapshot does not match its digest: requesting it again"));
            }
        }
    }

    fn serve_snapshots(&mut self, now: Mono, out: &mut Vec<Out>) {
        let addressed = self.transfer.sender.tick(now, &self.base);
        out.extend(addressed.map(|(to, message)| Out::Send(to, Msg::Snapshot(Box::new(message)))));
    }

    /// Sends the next snapshot piece that is due, and repeats unanswered requests.
    pub(crate) fn push_snapshots(&mut self, now: Mono, out: &mut Vec<Out>) {
        self.serve_snapshots(now, out);
        let progress = self.transfer.receiver.tick(now);
        self.handle_progress(now, progress, out);
    }
}
