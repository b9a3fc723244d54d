//! Recovery of commands whose leader is suspected (paper, Fig. 4).
use crate::machine::{Lead, Machine, Step};
use crate::types::*;
use crate::{classic_quorum, overlap};
use primitives::{Mono, Span};
use std::collections::BTreeMap;

impl<C: Command> Machine<C> {
    /// RECOVERYPHASE: a prepare under a higher ballot.
    fn recover(&mut self, now: Mono, cid: CommandId, out: &mut Vec<Out<C>>) {
        let was = self.ballots.get(&cid).copied().unwrap_or_default();
        let ballot = Ballot { n: was.n + 1, i: self.me };
        // Synced before it is used, so that no later life repeats it.
        self.ballots.insert(cid, ballot);
        out.push(Out::Save(LogRecord::Ballot(cid, ballot)));
        let cmd = self.h.get(&cid).map_or_else(C::noop, |t| t.cmd.clone());
        self.tally.recovered += 1;
        let lead = Lead {
            offer: Offer { cid, cmd, ballot, stamp: Stamp::default(), pred: Preds::new() },
            step: Step::Prepare,
            white: false,
            votes: BTreeMap::new(),
            finds: BTreeMap::new(),
            began: now,
            sent: now,
        };
        self.leads.insert(cid, lead);
        self.send_all(Message::Recover(cid, ballot), out);
    }

    pub(crate) fn on_recover(
        &mut self,
        from: MemberId,
        cid: CommandId,
        ballot: Ballot,
        out: &mut Vec<Out<C>>,
    ) {
        let b = self.ballots.entry(cid).or_default();
        if ballot < *b {
            return;
        }
        if ballot > *b {
            *b = ballot;
            out.push(Out::Save(LogRecord::Ballot(cid, ballot)));
        }
        let t = self.h.get(&cid).cloned();
        // A repeat of the same prepare may be answered again only while nothing
        // of that ballot has been accepted here.
        if t.as_ref().is_some_and(|t| t.ballot == ballot && t.status != Status::Stable) {
            return;
        }
        self.send(from, Message::RecoverReply(cid, ballot, t), out);
    }

    pub(crate) fn on_found(
        &mut self,
        now: Mono,
        from: MemberId,
        cid: CommandId,
        b: Ballot,
        t: Option<Tuple<C>>,
        out: &mut Vec<Out<C>>,
    ) {
        let n = self.n();
        let Some(l) = self.leads.get_mut(&cid) else {
            return;
        };
        if l.offer.ballot != b || l.step != Step::Prepare {
            return;
        }
        l.finds.insert(from, t);
        if l.finds.len() >= classic_quorum(n) {
            let finds: Vec<Tuple<C>> = l.finds.values().flatten().cloned().collect();
            self.redo(now, cid, b, finds, out);
        }
    }

    /// Goes on from what a classic quorum holds.
    fn redo(
        &mut self,
        now: Mono,
        cid: CommandId,
        ballot: Ballot,
        finds: Vec<Tuple<C>>,
        out: &mut Vec<Out<C>>,
    ) {
        let stable = finds.iter().find(|t| t.status == Status::Stable);
        let top = stable.map(|t| t.ballot).or_else(|| finds.iter().map(|t| t.ballot).max());
        let set: Vec<Tuple<C>> = finds.into_iter().filter(|t| Some(t.ballot) == top).collect();
        let with = |s: Status| set.iter().find(|t| t.status == s);
        let offer =
            |t: &Tuple<C>| Offer { cid, cmd: t.cmd.clone(), ballot, stamp: t.stamp, pred: t.pred.clone() };
        // A refusal under ballot 0 may have come from a command that was merely
        // accepted, beside a fast decision: what a quorum may have decided goes
        // before it. See docs/paper.md.
        let pending: Vec<&Tuple<C>> = set.iter().filter(|t| t.status == Status::FastPending).collect();
        let need = overlap(self.n());
        let refused = self.pace.unmodified_recovery && with(Status::Rejected).is_some();
        let maybe_fast = !refused && (pending.len() >= need || pending.iter().any(|t| t.forced));
        if let Some(t) = with(Status::Stable) {
            self.stable(offer(t), out);
        } else if let Some(t) = with(Status::Accepted) {
            self.start(now, offer(t), Phase::Retry, false, out);
        } else if let Some(t) = with(Status::SlowPending).filter(|_| !refused) {
            self.start(now, offer(t), Phase::Slow, false, out);
        } else if let Some(t) = pending.first().filter(|_| maybe_fast || with(Status::Rejected).is_none()) {
            let mut o = offer(t);
            let white = whitelist(&pending, need);
            let forced = white.is_some();
            o.pred = white.unwrap_or_default();
            self.start(now, o, Phase::Fast, forced, out);
        } else if let Some(t) = with(Status::Rejected) {
            let mut o = offer(t);
            o.stamp = self.next_stamp(out);
            o.pred = Preds::new();
            self.start(now, o, Phase::Fast, false, out);
        } else {
            // Nobody of the quorum ever saw it: the id is filled, with the command
            // if this controller happens to hold it, otherwise without effect.
            let cmd = self.h.get(&cid).map_or_else(C::noop, |t| t.cmd.clone());
            let stamp = self.next_stamp(out);
            let o = Offer { cid, cmd, ballot, stamp, pred: Preds::new() };
            self.start(now, o, Phase::Fast, false, out);
        }
    }

    /// Finds the commands that stay unfinished too long and recovers them; the
    /// controllers take turns by rank, so that they seldom compete.
    /// A member that has yet to catch up leaves it to the others: what it takes for
    /// unfinished is for the most part only not here yet, and each reply repeats a command.
    pub(crate) fn chase(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        if !self.caught_up() {
            return;
        }
        let h = &self.h;
        let done = &self.done;
        self.stuck.retain(|cid, _| !done.contains(cid));
        let lost: Vec<CommandId> = h
            .iter()
            .filter(|(id, t)| t.status == Status::Stable && !done.contains(id))
            .flat_map(|(_, t)| t.pred.iter().copied())
            .filter(|p| !h.contains_key(p))
            .collect();
        lost.into_iter().for_each(|p| {
            self.stuck.entry(p).or_insert((now, 0));
        });
        for (cid, t) in &self.h {
            if t.status != Status::Stable {
                self.stuck.entry(*cid).or_insert((now, 0));
            }
        }
        let rank = self.roster.iter().position(|k| *k == self.me).unwrap_or(0) as u64;
        let base = self.pace.patience.max(self.rtt().times(6));
        let ids: Vec<(CommandId, Mono, u32)> = self.stuck.iter().map(|(c, (m, n))| (*c, *m, *n)).collect();
        for (cid, since, tries) in ids {
            let settled = self.h.get(&cid).is_some_and(|t| t.status == Status::Stable);
            if settled || self.leads.contains_key(&cid) {
                continue;
            }
            let b = self.ballots.get(&cid).copied().unwrap_or_default();
            let leader = if b.n == 0 { cid.member_id } else { b.i };
            let quiet = self.heard.get(&leader).is_none_or(|m| now - *m >= self.pace.suspect_after);
            let mine = leader == self.me;
            let grow = 1 << tries.min(4);
            let wait = if quiet || mine { base.times(grow) } else { base.times(5 * grow) };
            if now - since >= wait + Span(base.0 * rank / 2) {
                self.stuck.insert(cid, (now, tries + 1));
                self.recover(now, cid, out);
            }
        }
    }
}

/// The predecessors that a fast decision may have had, if there may have been one: of commands
/// that are pending at a classic quorum, those that so many have that a fast quorum may.
fn whitelist<C>(pending: &[&Tuple<C>], need: usize) -> Option<Preds> {
    let all: Preds = pending.iter().flat_map(|t| t.pred.iter().copied()).collect();
    if let Some(forced) = pending.iter().find(|t| t.forced) {
        // Forced sets of one ballot may differ; the paper takes their union.
        debug_assert_eq!(Some(forced.stamp), pending.first().map(|t| t.stamp));
        return Some(all);
    }
    if pending.len() < need {
        return None;
    }
    let lacking = |c: &CommandId| pending.iter().filter(|t| !t.pred.contains(c)).count();
    Some(all.into_iter().filter(|c| lacking(c) < need).collect())
}
