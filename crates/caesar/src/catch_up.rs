//! Catch-up: learns which commands are stable at the other members and fetches the missing
//! ones in replies of bounded size.
//!
//! A member is *caught up* once it holds every command that was stable at a classic quorum,
//! itself included, at some time after its return. Until then its state may be outdated.
use crate::classic_quorum;
use crate::machine::Machine;
use crate::types::*;
use primitives::{Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Limit on the total size of the commands in one reply; a reply holds at least one command.
const MAX_REPLY_BYTES: usize = 64 << 10;
/// Maximum number of commands requested at once.
const MAX_REQUESTED_COMMANDS: usize = 64;
/// Timeout of the first request. It doubles with each unanswered request, up to
/// `MAX_RETRY_DOUBLINGS` times.
const FETCH_RETRY: Span = Span::secs(1);
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// What this member knows about the stable commands of the other members.
#[derive(Clone, Debug)]
pub(crate) struct CatchUp {
    /// When this member returned, by its own clock.
    since: Mono,
    /// Members of which this one holds all commands that were stable there at some time after `since`.
    matched: BTreeSet<MemberId>,
    /// Stable commands of each other member that are missing here, as of its last list.
    missing: BTreeMap<MemberId, Preds>,
    /// When the in-flight request was sent, if there is one.
    request_sent_at: Option<Mono>,
    /// Requests without a reply since the last reply.
    unanswered_requests: u32,
    /// Selects the recipient of the next request: an index into `missing`, modulo its length.
    next_member: usize,
    /// When all members were last asked for the ids of their stable commands.
    list_requested_at: Option<Mono>,
    /// When missing commands last arrived; at first the same as `since`.
    last_progress: Mono,
}

impl CatchUp {
    pub(crate) fn new(since: Mono) -> CatchUp {
        CatchUp {
            since,
            matched: BTreeSet::new(),
            missing: BTreeMap::new(),
            request_sent_at: None,
            unanswered_requests: 0,
            next_member: 0,
            list_requested_at: None,
            last_progress: since,
        }
    }

    fn awaits_reply(&self, now: Mono) -> bool {
        let timeout = FETCH_RETRY.times(1 << self.unanswered_requests.min(MAX_RETRY_DOUBLINGS));
        self.request_sent_at.is_some_and(|sent_at| now - sent_at < timeout)
    }
}

impl<C: Command> Machine<C> {
    /// Whether this member holds every command that was stable at a classic quorum at some time after its
    /// return.
    pub fn caught_up(&self) -> bool {
        self.catch_up.matched.len() + 1 >= classic_quorum(self.member_count())
    }

    /// When this member last received missing commands, or when it returned if it has received none since;
    /// by its own clock.
    pub fn last_catch_up_progress(&self) -> Mono {
        self.catch_up.last_progress
    }

    /// Marks this member as caught up without catch-up: it has just delivered the end of the previous era.
    pub fn mark_caught_up(&mut self) {
        self.catch_up.matched =
            self.members.iter().copied().filter(|member_id| *member_id != self.me).collect();
    }

    /// Starts catch-up anew after this member returned: lists requested before `now` no longer count.
    pub fn restart_catch_up(&mut self, now: Mono) {
        self.catch_up = CatchUp::new(now);
    }

    pub(crate) fn is_stable(&self, cid: &CommandId) -> bool {
        self.history.get(cid).is_some_and(|tuple| tuple.status == Status::Stable)
    }

    /// Handles a member's count and digest of stable commands: requests its list if it has any that may be
    /// missing here.
    pub(crate) fn on_stable_digest(
        &mut self,
        now: Mono,
        from: MemberId,
        count: u64,
        digest: u64,
        out: &mut Vec<Out<C>>,
    ) {
        if from != self.me && count >= self.stable_count && digest != self.digest {
            self.send(from, Message::RequestStableIds(now), out);
        }
    }

    /// Replies with the ids of all stable commands; echoes `asked_at`, which is a time of the sender's clock.
    pub(crate) fn on_request_stable_ids(&mut self, from: MemberId, asked_at: Mono, out: &mut Vec<Out<C>>) {
        let ids = self
            .history
            .iter()
            .filter(|(_, tuple)| tuple.status == Status::Stable)
            .map(|(id, _)| *id)
            .collect();
        self.send(from, Message::StableIds(asked_at, ids), out);
    }

    /// Handles a list of stable commands. `asked_at` is when this member requested it, by its own clock.
    pub(crate) fn on_stable_ids(
        &mut self,
        now: Mono,
        from: MemberId,
        asked_at: Mono,
        ids: Vec<CommandId>,
        out: &mut Vec<Out<C>>,
    ) {
        if from == self.me || asked_at < self.catch_up.since {
            return;
        }
        let missing: Preds = ids.into_iter().filter(|id| !self.is_stable(id)).collect();
        self.catch_up.missing.insert(from, missing);
        self.request_missing(now, out);
    }

    /// Replies with the requested commands that are stable here, as many as fit into one reply.
    pub(crate) fn on_want(&mut self, from: MemberId, ids: Vec<CommandId>, out: &mut Vec<Out<C>>) {
        let mut proposals = vec![];
        let mut bytes = 0;
        for cid in ids {
            let Some(tuple) = self.history.get(&cid).filter(|tuple| tuple.status == Status::Stable) else {
                continue;
            };
            bytes += tuple.cmd.bytes();
            if bytes > MAX_REPLY_BYTES && !proposals.is_empty() {
                break;
            }
            let (cmd, pred) = (tuple.cmd.clone(), tuple.pred.clone());
            proposals.push(Offer { cid, cmd, ballot: tuple.ballot, stamp: tuple.stamp, pred });
        }
        if !proposals.is_empty() {
            self.send(from, Message::StableCommands(proposals), out);
        }
    }

    /// Handles the reply to a request for missing commands.
    pub(crate) fn on_stable_commands(&mut self, now: Mono, proposals: Vec<Offer<C>>, out: &mut Vec<Out<C>>) {
        proposals.into_iter().for_each(|proposal| self.on_stable(now, proposal, out));
        self.catch_up.request_sent_at = None;
        self.catch_up.unanswered_requests = 0;
        self.catch_up.last_progress = now;
        self.request_missing(now, out);
    }

    /// Requests missing commands from one member, unless a request is already in flight.
    fn request_missing(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        let history = &self.history;
        let is_missing = |id: &CommandId| history.get(id).is_none_or(|tuple| tuple.status != Status::Stable);
        self.catch_up.missing.values_mut().for_each(|ids| ids.retain(is_missing));
        let matched: Vec<MemberId> = self
            .catch_up
            .missing
            .iter()
            .filter(|(_, ids)| ids.is_empty())
            .map(|(member_id, _)| *member_id)
            .collect();
        for member_id in matched {
            self.catch_up.missing.remove(&member_id);
            self.catch_up.matched.insert(member_id);
        }
        if self.catch_up.missing.is_empty() {
            self.catch_up.request_sent_at = None;
            return;
        }
        if self.catch_up.awaits_reply(now) {
            return;
        }
        if self.catch_up.request_sent_at.is_some() {
            self.catch_up.unanswered_requests += 1;
            self.catch_up.next_member += 1;
        }
        self.catch_up.request_sent_at = Some(now);
        let index = self.catch_up.next_member % self.catch_up.missing.len();
        let next = self.catch_up.missing.iter().nth(index);
        if let Some((member_id, ids)) = next
            .map(|(member_id, ids)| (*member_id, ids.iter().take(MAX_REQUESTED_COMMANDS).copied().collect()))
        {
            self.send(member_id, Message::Want(ids), out);
        }
    }

    /// Until caught up, requests the lists of all members every `digest_interval`, and missing commands.
    pub(crate) fn advance_catch_up(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        let due = self
            .catch_up
            .list_requested_at
            .is_none_or(|requested_at| now - requested_at >= self.config.digest_interval);
        if !self.caught_up() && due {
            self.catch_up.list_requested_at = Some(now);
            self.send_all(Message::RequestStableIds(now), out);
        }
        if !self.catch_up.missing.is_empty() {
            self.request_missing(now, out);
        }
    }
}
