//! Whose disk keeps up. A disk that takes long to sync holds up every vote and word of its
//! controller, which then leaves leadership to the next in order.
use crate::controller::Controller;
use caesar::MemberId;
use control_state::*;
use primitives::{Mono, Span};
use std::collections::BTreeMap;

/// A sync that takes longer is slow.
const SLOW: Span = Span::ms(500);
/// A disk counts as slow for so long after it was.
const PENALTY: Span = Span::secs(5);
/// A word of another's slow disk stands for so long.
const STANDS: Span = Span::secs(3);
/// How often it is told.
const TELL: Span = Span::ms(300);
/// After so long a probe was lost, not late.
const LOST: Span = Span::secs(10);

#[derive(Default)]
pub(crate) struct DiskHealth {
    /// A save under way, since when. Its probe comes back once it is synced.
    probe: Option<Mono>,
    slow_until: Mono,
    /// Until when each member's disk counts as slow, this one's included.
    slow: BTreeMap<MemberId, Mono>,
}

impl DiskHealth {
    /// Something is saved; whether a probe is to follow it.
    pub(crate) fn saving(&mut self, now: Mono) -> bool {
        let free = self.probe.is_none_or(|t| now - t >= LOST);
        if free {
            self.probe = Some(now);
        }
        free
    }

    /// The probe sent then came back.
    pub(crate) fn synced(&mut self, now: Mono, then: Mono) {
        if self.probe == Some(then) {
            self.probe = None;
        }
        if now - then > SLOW {
            self.slow_until = now + PENALTY;
        }
    }

    fn is_slow(&self, now: Mono) -> bool {
        self.slow_until > now || self.probe.is_some_and(|t| now - t > SLOW)
    }

    pub(crate) fn on_slow(&mut self, now: Mono, member_id: MemberId) {
        self.slow.insert(member_id, now + STANDS);
    }

    pub(crate) fn keeps_up(&self, now: Mono, member_id: MemberId) -> bool {
        self.slow.get(&member_id).is_none_or(|t| *t <= now)
    }
}

impl Controller {
    /// Tells the others while its own disk is slow.
    pub(crate) fn report_slow_disk(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.consensus.is_none() || !self.disk.is_slow(now) || !self.due("slow disk", TELL, now) {
            return;
        }
        self.disk.on_slow(now, self.member_id);
        let word = |m: &Member| Out::SendNow(m.addr, Msg::SlowDisk(self.member_id));
        out.extend(self.base.members.iter().filter(|m| m.member_id != self.member_id).map(word));
    }
}
