//! Catching up: learning what others hold as stable, and fetching what is lacking in
//! replies of bounded size.
//!
//! A member is *caught up* once it holds all that a classic quorum, itself included,
//! held as stable at some moment after its return. Until then what it knows may be old.
use crate::classic_quorum;
use crate::machine::Machine;
use crate::types::*;
use primitives::{Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// A reply holds at least one command, and no more than fit into this many bytes.
const REPLY: usize = 64 << 10;
/// Commands asked for at once.
const MANY: usize = 64;
/// How long a reply is waited for at first; twice as long after each that does not come.
const RETRY: Span = Span::secs(1);
const DOUBLINGS: u32 = 3;

/// What one member knows of the others' stable commands.
#[derive(Clone, Debug)]
pub(crate) struct CatchUp {
    /// When this member came back.
    since: Mono,
    /// Whose stable commands, as of a moment after that, are all here.
    matched: BTreeSet<MemberId>,
    /// What each other member has and this one lacked when last compared.
    lacks: BTreeMap<MemberId, Preds>,
    /// The request under way, if any.
    asked: Option<Mono>,
    unanswered: u32,
    /// Whom the next request goes to, as a count.
    turn: usize,
    listed: Option<Mono>,
    progressed: Mono,
}

impl CatchUp {
    pub(crate) fn new(since: Mono) -> CatchUp {
        CatchUp {
            since,
            matched: BTreeSet::new(),
            lacks: BTreeMap::new(),
            asked: None,
            unanswered: 0,
            turn: 0,
            listed: None,
            progressed: since,
        }
    }

    fn waits(&self, now: Mono) -> bool {
        let patience = RETRY.times(1 << self.unanswered.min(DOUBLINGS));
        self.asked.is_some_and(|t| now - t < patience)
    }
}

impl<C: Command> Machine<C> {
    /// Holds all that a classic quorum held as stable at a moment after its return.
    pub fn caught_up(&self) -> bool {
        self.catch_up.matched.len() + 1 >= classic_quorum(self.n())
    }

    /// When it came back or last got something that it lacked, by its own clock.
    pub fn last_catch_up_progress(&self) -> Mono {
        self.catch_up.progressed
    }

    /// It did not come back from anywhere: it delivered the end of the era before.
    pub fn mark_caught_up(&mut self) {
        self.catch_up.matched = self.roster.iter().copied().filter(|k| *k != self.me).collect();
    }

    /// It comes back from somewhere: nothing that others said before counts.
    pub fn restart_catch_up(&mut self, now: Mono) {
        self.catch_up = CatchUp::new(now);
    }

    pub(crate) fn is_stable(&self, cid: &CommandId) -> bool {
        self.h.get(cid).is_some_and(|t| t.status == Status::Stable)
    }

    pub(crate) fn on_have(&mut self, now: Mono, from: MemberId, n: u64, digest: u64, out: &mut Vec<Out<C>>) {
        if from != self.me && n >= self.stables && digest != self.digest {
            self.send(from, Message::RequestStableIds(now), out);
        }
    }

    pub(crate) fn on_ask_stable(&mut self, from: MemberId, mark: Mono, out: &mut Vec<Out<C>>) {
        let ids = self.h.iter().filter(|(_, t)| t.status == Status::Stable).map(|(id, _)| *id).collect();
        self.send(from, Message::StableIds(mark, ids), out);
    }

    /// `mark` is when this member asked, by its own clock.
    pub(crate) fn on_stable_ids(
        &mut self,
        now: Mono,
        from: MemberId,
        mark: Mono,
        ids: Vec<CommandId>,
        out: &mut Vec<Out<C>>,
    ) {
        if from == self.me || mark < self.catch_up.since {
            return;
        }
        let lacks: Preds = ids.into_iter().filter(|id| !self.is_stable(id)).collect();
        self.catch_up.lacks.insert(from, lacks);
        self.fetch(now, out);
    }

    /// Sends what was asked for, as much as one reply holds.
    pub(crate) fn on_want(&mut self, from: MemberId, ids: Vec<CommandId>, out: &mut Vec<Out<C>>) {
        let mut offers = vec![];
        let mut bytes = 0;
        for cid in ids {
            let Some(t) = self.h.get(&cid).filter(|t| t.status == Status::Stable) else { continue };
            bytes += t.cmd.bytes();
            if bytes > REPLY && !offers.is_empty() {
                break;
            }
            let (cmd, pred) = (t.cmd.clone(), t.pred.clone());
            offers.push(Offer { cid, cmd, ballot: t.ballot, stamp: t.stamp, pred });
        }
        if !offers.is_empty() {
            self.send(from, Message::StableCommands(offers), out);
        }
    }

    pub(crate) fn on_stables(&mut self, now: Mono, offers: Vec<Offer<C>>, out: &mut Vec<Out<C>>) {
        offers.into_iter().for_each(|o| self.on_stable(now, o, out));
        self.catch_up.asked = None;
        self.catch_up.unanswered = 0;
        self.catch_up.progressed = now;
        self.fetch(now, out);
    }

    /// Asks one member for what is lacking; one request is under way at a time.
    fn fetch(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        let h = &self.h;
        let lacking = |id: &CommandId| h.get(id).is_none_or(|t| t.status != Status::Stable);
        self.catch_up.lacks.values_mut().for_each(|ids| ids.retain(lacking));
        let done: Vec<MemberId> =
            self.catch_up.lacks.iter().filter(|(_, ids)| ids.is_empty()).map(|(k, _)| *k).collect();
        for member_id in done {
            self.catch_up.lacks.remove(&member_id);
            self.catch_up.matched.insert(member_id);
        }
        if self.catch_up.lacks.is_empty() {
            self.catch_up.asked = None;
            return;
        }
        if self.catch_up.waits(now) {
            return;
        }
        if self.catch_up.asked.is_some() {
            self.catch_up.unanswered += 1;
            self.catch_up.turn += 1;
        }
        self.catch_up.asked = Some(now);
        let at = self.catch_up.turn % self.catch_up.lacks.len();
        let next = self.catch_up.lacks.iter().nth(at);
        if let Some((member_id, ids)) = next.map(|(k, ids)| (*k, ids.iter().take(MANY).copied().collect())) {
            self.send(member_id, Message::Want(ids), out);
        }
    }

    /// Several times a second, until caught up, asks everybody for their lists.
    pub(crate) fn push_catch_up(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        let due = self.catch_up.listed.is_none_or(|t| now - t >= self.pace.compare);
        if !self.caught_up() && due {
            self.catch_up.listed = Some(now);
            self.send_all(Message::RequestStableIds(now), out);
        }
        if !self.catch_up.lacks.is_empty() {
            self.fetch(now, out);
        }
    }
}
