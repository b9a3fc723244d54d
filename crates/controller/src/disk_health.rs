//! Disk health of the members. A disk that syncs slowly delays every vote and message of its
//! controller, which therefore leaves the leadership to the next member in order.
use crate::controller::Controller;
use caesar::MemberId;
use control_state::*;
use primitives::{Mono, Span};
use std::collections::BTreeMap;

/// A sync that takes longer counts as slow.
const SLOW_SYNC: Span = Span::ms(500);
/// A disk counts as slow for this long after a slow sync.
const SLOW_PERIOD: Span = Span::secs(5);
/// Validity of a slow-disk report from another member.
const REPORT_VALIDITY: Span = Span::secs(3);
/// Interval between slow-disk reports.
const REPORT_INTERVAL: Span = Span::ms(300);
/// A probe that has not returned after this time is considered lost, not late.
const PROBE_TIMEOUT: Span = Span::secs(10);

/// Disk health of this controller and its peers.
#[derive(Default)]
pub(crate) struct DiskHealth {
    /// Start of the save in progress. A probe sent after it returns once the save is synced.
    probe: Option<Mono>,
    slow_until: Mono,
    /// Until when each member's disk counts as slow, including this one's.
    reported_slow_until: BTreeMap<MemberId, Mono>,
}

impl DiskHealth {
    /// Notes a save; returns whether to send a probe after it.
    pub(crate) fn saving(&mut self, now: Mono) -> bool {
        let may_probe = self.probe.is_none_or(|t| now - t >= PROBE_TIMEOUT);
        if may_probe {
            self.probe = Some(now);
        }
        may_probe
    }

    /// Handles the return of the probe sent at `probed`.
    pub(crate) fn synced(&mut self, now: Mono, probed: Mono) {
        if self.probe == Some(probed) {
            self.probe = None;
        }
        if now - probed > SLOW_SYNC {
            self.slow_until = now + SLOW_PERIOD;
        }
    }

    /// Whether this disk is slow: it was recently, or a sync has been taking too long.
    fn is_slow(&self, now: Mono) -> bool {
        self.slow_until > now || self.probe.is_some_and(|t| now - t > SLOW_SYNC)
    }

    /// Records a slow-disk report.
    pub(crate) fn on_slow(&mut self, now: Mono, member_id: MemberId) {
        self.reported_slow_until.insert(member_id, now + REPORT_VALIDITY);
    }

    /// Whether there is no valid slow-disk report about the member.
    pub(crate) fn keeps_up(&self, now: Mono, member_id: MemberId) -> bool {
        self.reported_slow_until.get(&member_id).is_none_or(|t| *t <= now)
    }
}

impl Controller {
    /// Reports a slow disk to the other members for as long as it is slow.
    pub(crate) fn report_slow_disk(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.consensus.is_none() || !self.disk.is_slow(now) || !self.due("slow disk", REPORT_INTERVAL, now)
        {
            return;
        }
        self.disk.on_slow(now, self.member_id);
        let report = |m: &Member| Out::SendNow(m.addr, Msg::SlowDisk(self.member_id));
        out.extend(self.base.members.iter().filter(|m| m.member_id != self.member_id).map(report));
    }
}
