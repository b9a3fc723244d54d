//! Which updates subscribers may see, and when.
//!
//! Invariant: an update is sent only once a classic quorum of controllers is known to have applied it.
//! An edge's lease needs renewals from a classic quorum, and each controller renews it only for an edge
//! that holds everything this controller applied. So whatever one edge has shown, every
//! serving edge holds, even one that has just started.
use crate::controller::Controller;
use caesar::{classic_quorum, CommandId, MemberId};
use control_state::*;
use primitives::{Addr, Backoff, Mono, Span};
use std::collections::BTreeSet;

/// A command that was applied here and is not known to be applied by a classic quorum.
pub(crate) struct UnconfirmedUpdate {
    /// The keys that it changed.
    pub keys: BTreeSet<Key>,
    /// Members known to have applied it.
    pub applied_by: BTreeSet<MemberId>,
    /// When the other members are queried.
    pub query_backoff: Backoff,
}

/// Members report unasked what they applied. These are the first and the longest delay after which they
/// are queried nevertheless.
const QUERY_DELAYS: (Span, Span) = (Span::ms(100), Span::ms(800));

impl Controller {
    /// Size of a classic quorum of the members.
    fn quorum(&self) -> usize {
        classic_quorum(self.base.members.len())
    }

    /// Whether enough members were heard from in this era that everything exposed before is known here.
    pub(crate) fn heard_from_quorum(&self) -> bool {
        self.base.members.len() == 1 || self.heard.len() >= self.quorum()
    }

    /// Whether the whole state may be sent: nothing in it is unconfirmed, a quorum was heard from in this
    /// era, and all earlier memberships are retired.
    pub(crate) fn may_expose_state(&self) -> bool {
        self.unconfirmed.is_empty() && self.heard_from_quorum() && self.earlier_memberships_retired()
    }

    /// Whether an update may be sent: a classic quorum has applied its command and every other command
    /// that changed the same key.
    pub(crate) fn is_visible(&self, key: &Key, cid: Option<CommandId>) -> bool {
        let unconfirmed = cid.is_some_and(|c| self.unconfirmed.contains_key(&c));
        !unconfirmed && !self.unconfirmed.values().any(|u| u.keys.contains(key))
    }

    /// Withholds the keys changed by a command just applied from subscribers until a classic quorum has
    /// applied it, and tells the other members that it was applied here.
    pub(crate) fn withhold_until_confirmed(
        &mut self,
        now: Mono,
        cid: CommandId,
        changed: &[Key],
        out: &mut Vec<Out>,
    ) {
        if changed.is_empty() {
            return;
        }
        self.number(changed, Some(cid));
        let applied_by = BTreeSet::from([self.member_id]);
        let query_backoff = Backoff::new(now, QUERY_DELAYS.0, QUERY_DELAYS.1);
        self.unconfirmed.insert(
            cid,
            UnconfirmedUpdate { keys: changed.iter().cloned().collect(), applied_by, query_backoff },
        );
        let (era, member_id, me) = (self.base.era, self.member_id, self.env.addr);
        let others = self.base.members.iter().filter(|m| m.addr != me);
        out.extend(others.map(|m| Out::Send(m.addr, Msg::Applied(era, cid, member_id))));
    }

    /// A member reports that it has applied a command. At a classic quorum its updates are sent.
    pub(crate) fn on_applied(
        &mut self,
        now: Mono,
        era: Era,
        cid: CommandId,
        member_id: MemberId,
        out: &mut Vec<Out>,
    ) {
        if era != self.base.era {
            return;
        }
        let quorum = self.quorum();
        let confirmed = self.unconfirmed.get_mut(&cid).is_some_and(|u| {
            u.applied_by.insert(member_id);
            u.applied_by.len() >= quorum
        });
        if confirmed {
            self.unconfirmed.remove(&cid);
            self.push(now, out);
        }
    }

    /// Queries members about unconfirmed commands: their reports may have been lost.
    pub(crate) fn query_applied(&mut self, now: Mono, out: &mut Vec<Out>) {
        let (era, me) = (self.base.era, self.env.addr);
        for (cid, update) in self.unconfirmed.iter_mut() {
            if !update.query_backoff.due(now) {
                continue;
            }
            let others = self
                .base
                .members
                .iter()
                .filter(|m| m.addr != me && !update.applied_by.contains(&m.member_id));
            out.extend(others.map(|m| Out::Send(m.addr, Msg::AppliedQuery(era, *cid))));
        }
    }

    /// Answers a member's query if the command was applied here.
    pub(crate) fn on_applied_query(&self, from: Addr, era: Era, cid: CommandId, out: &mut Vec<Out>) {
        let applied = self.consensus.as_ref().is_some_and(|m| m.delivered(cid));
        if era == self.base.era && applied {
            out.push(Out::Send(from, Msg::Applied(era, cid, self.member_id)));
        }
    }

    /// Readiness and counters, for operators.
    pub(crate) fn health(&self, now: Mono) -> Health {
        let tally = self.tally();
        let reason = match (&self.consensus, self.connected(now)) {
            _ if self.watch.stopping => "leaving",
            (None, _) => "not a member yet",
            (_, false) => "no quorum of controllers in reach",
            _ => "",
        };
        let mut counts: Vec<_> = self.counts.iter().map(|(name, n)| (*name, *n)).collect();
        counts.extend([
            ("era", self.state.era.0),
            ("proposed", tally.proposed),
            ("fast", tally.fast),
            ("slow", tally.slow),
            ("retried", tally.retried),
            ("recovered", tally.recovered),
            ("messages", tally.sent),
            ("tuples", self.consensus.as_ref().map_or(0, |m| m.size()) as u64),
            ("agreement bytes", self.consensus.as_ref().map_or(0, |m| m.bytes()) as u64),
            ("log bytes", self.log.written as u64),
            ("items", self.state.items.len() as u64),
            ("streams' numbers", self.subscribers.values().map(|s| s.stream.unacknowledged()).sum()),
            ("calls", self.calls.len() as u64),
            ("owed", self.lagging_subscribers.len() as u64),
            ("hidden", self.unconfirmed.len() as u64),
        ]);
        Health {
            ready: reason.is_empty(),
            why: reason,
            in_hand: self.pending.len() as u64,
            counts,
            ..Health::default()
        }
    }
}
