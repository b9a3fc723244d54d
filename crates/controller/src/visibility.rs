//! What may be seen outside, and when.
//!
//! Invariant: news leaves only once a classic quorum of controllers is known to
//! have applied it. An edge's lease needs renewals from a classic quorum, each
//! given only to an edge that holds all its controller applied; so whatever any edge
//! ever showed, no edge, not even one that starts anew, serves without.
use crate::controller::Controller;
use caesar::{classic_quorum, CommandId, MemberId};
use control_state::*;
use primitives::{Addr, Backoff, Mono, Span};
use std::collections::BTreeSet;

pub(crate) struct UnconfirmedUpdate {
    pub keys: BTreeSet<Key>,
    pub by: BTreeSet<MemberId>,
    /// When members that are not known to have it are asked.
    pub ask_again: Backoff,
}

/// Members say by themselves what they applied: the first and the longest pause after which
/// they are asked.
const ASK_AGAIN: (Span, Span) = (Span::ms(100), Span::ms(800));

impl Controller {
    fn quorum(&self) -> usize {
        classic_quorum(self.base.members.len())
    }

    /// Heard in this era from so many that nothing shown before is unknown here.
    pub(crate) fn heard_from_quorum(&self) -> bool {
        self.base.members.len() == 1 || self.heard.len() >= self.quorum()
    }

    pub(crate) fn may_expose_state(&self) -> bool {
        self.unconfirmed.is_empty() && self.heard_from_quorum() && self.earlier_memberships_retired()
    }

    /// Whether an update may leave: enough have applied the command that it comes of, and
    /// every other one that changed the same key.
    pub(crate) fn is_visible(&self, key: &Key, cid: Option<CommandId>) -> bool {
        let unconfirmed = cid.is_some_and(|c| self.unconfirmed.contains_key(&c));
        !unconfirmed && !self.unconfirmed.values().any(|h| h.keys.contains(key))
    }

    /// A change was applied: others are told, and edges once enough have it.
    pub(crate) fn hide(&mut self, now: Mono, cid: CommandId, news: &[Key], out: &mut Vec<Out>) {
        if news.is_empty() {
            return;
        }
        self.number(news, Some(cid));
        let by = BTreeSet::from([self.member_id]);
        let ask_again = Backoff::new(now, ASK_AGAIN.0, ASK_AGAIN.1);
        self.unconfirmed
            .insert(cid, UnconfirmedUpdate { keys: news.iter().cloned().collect(), by, ask_again });
        let (era, member_id, me) = (self.base.era, self.member_id, self.env.addr);
        let others = self.base.members.iter().filter(|m| m.addr != me);
        out.extend(others.map(|m| Out::Send(m.addr, Msg::Applied(era, cid, member_id))));
    }

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
        let need = self.quorum();
        let enough = self.unconfirmed.get_mut(&cid).is_some_and(|h| {
            h.by.insert(member_id);
            h.by.len() >= need
        });
        if enough {
            self.unconfirmed.remove(&cid);
            self.push(now, out);
        }
    }

    /// Asks again for what was lost on the way.
    pub(crate) fn ask_applied(&mut self, now: Mono, out: &mut Vec<Out>) {
        let (era, me) = (self.base.era, self.env.addr);
        for (cid, h) in self.unconfirmed.iter_mut() {
            if !h.ask_again.due(now) {
                continue;
            }
            let others = self.base.members.iter().filter(|m| m.addr != me && !h.by.contains(&m.member_id));
            out.extend(others.map(|m| Out::Send(m.addr, Msg::AppliedQuery(era, *cid))));
        }
    }

    pub(crate) fn on_ask_applied(&self, from: Addr, era: Era, cid: CommandId, out: &mut Vec<Out>) {
        let has = self.consensus.as_ref().is_some_and(|m| m.delivered(cid));
        if era == self.base.era && has {
            out.push(Out::Send(from, Msg::Applied(era, cid, self.member_id)));
        }
    }

    pub(crate) fn health(&self, now: Mono) -> Health {
        let t = self.tally();
        let why = match (&self.consensus, self.connected(now)) {
            _ if self.watch.stopping => "leaving",
            (None, _) => "not a member yet",
            (_, false) => "no quorum of controllers in reach",
            _ => "",
        };
        let mut counts: Vec<_> = self.counts.iter().map(|(k, v)| (*k, *v)).collect();
        counts.extend([
            ("era", self.state.era.0),
            ("proposed", t.proposed),
            ("fast", t.fast),
            ("slow", t.slow),
            ("retried", t.retried),
            ("recovered", t.recovered),
            ("messages", t.sent),
            ("tuples", self.consensus.as_ref().map_or(0, |m| m.size()) as u64),
            ("agreement bytes", self.consensus.as_ref().map_or(0, |m| m.bytes()) as u64),
            ("log bytes", self.log.written as u64),
            ("items", self.state.items.len() as u64),
            ("streams' numbers", self.subscribers.values().map(|s| s.stream.unacknowledged()).sum()),
            ("calls", self.calls.len() as u64),
            ("owed", self.lagging_subscribers.len() as u64),
            ("hidden", self.unconfirmed.len() as u64),
        ]);
        Health { ready: why.is_empty(), why, in_hand: self.pending.len() as u64, counts, ..Health::default() }
    }
}
