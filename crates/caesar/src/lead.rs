//! The leader's side: the four phases (paper, Fig. 3 left).
use crate::machine::{Lead, Machine, Step};
use crate::types::*;
use crate::{classic_quorum, fast};
use primitives::{Mono, Span};
use std::collections::BTreeMap;

/// A message without an answer is repeated at least this often.
const MOST_SELDOM: Span = Span::secs(1);
/// What a byte of a command may take to arrive: 100 kB a second.
const MICROS_A_BYTE: u64 = 10;

impl<C: Command> Machine<C> {
    /// PROPOSE: this controller becomes the command's leader.
    pub fn propose(&mut self, now: Mono, cmd: C, out: &mut Vec<Out<C>>) -> CommandId {
        let stamp = self.next_stamp(out);
        let cid = CommandId { member_id: self.me, seq: stamp.k };
        self.tally.proposed += 1;
        let offer = Offer { cid, cmd, ballot: Ballot::default(), stamp, pred: Preds::new() };
        self.start(now, offer, Phase::Fast, false, out);
        cid
    }

    /// Enters a phase and tells everyone.
    pub(crate) fn start(
        &mut self,
        now: Mono,
        offer: Offer<C>,
        phase: Phase,
        white: bool,
        out: &mut Vec<Out<C>>,
    ) {
        let began = match self.leads.get(&offer.cid) {
            Some(l) if phase != Phase::Fast => l.began,
            _ => now,
        };
        let lead = Lead {
            offer,
            step: Step::Vote(phase),
            white,
            votes: BTreeMap::new(),
            finds: BTreeMap::new(),
            began,
            sent: now,
        };
        let msg = lead.message();
        self.leads.insert(lead.offer.cid, lead);
        self.send_all(msg, out);
    }

    pub(crate) fn on_vote(&mut self, now: Mono, from: MemberId, v: Vote, out: &mut Vec<Out<C>>) {
        let Some(l) = self.leads.get_mut(&v.cid) else {
            return;
        };
        if l.offer.ballot != v.ballot || l.step != Step::Vote(v.phase) {
            return;
        }
        l.votes.entry(from).or_insert((v.ok, v.stamp, v.pred));
        if v.phase == Phase::Fast && from != self.me {
            let rtt = now - l.sent;
            let was = self.rtts.entry(from).or_insert(rtt);
            *was = Span((was.0 * 7 + rtt.0) / 8);
        }
        self.weigh(now, v.cid, false, out);
    }

    /// The measured quorum round trip: the slowest of the nearest classic quorum.
    pub(crate) fn rtt(&self) -> Span {
        let mut all: Vec<Span> = self.rtts.values().copied().collect();
        all.sort();
        all.get(classic_quorum(self.n()).saturating_sub(2)).copied().unwrap_or(self.pace.initial_rtt)
    }

    /// Decides whether the phase is over; `late` says the fast timeout has run out.
    fn weigh(&mut self, now: Mono, cid: CommandId, late: bool, out: &mut Vec<Out<C>>) {
        let n = self.n();
        let Some(l) = self.leads.get(&cid) else {
            return;
        };
        let Step::Vote(phase) = l.step else { return };
        let need = match phase {
            Phase::Fast if !late => fast(n),
            _ => classic_quorum(n),
        };
        if l.votes.len() < need {
            return;
        }
        let mut offer = l.offer.clone();
        let nacked = l.votes.values().any(|(ok, ..)| !ok);
        let enough = l.votes.len() >= fast(n);
        offer.pred = l.votes.values().flat_map(|(_, _, p)| p.iter().copied()).collect();
        offer.pred.remove(&cid);
        match phase {
            _ if nacked => {
                offer.stamp = l.votes.values().map(|(_, s, _)| *s).max().unwrap_or(offer.stamp);
                self.tally.retried += 1;
                self.start(now, offer, Phase::Retry, false, out);
            }
            Phase::Fast if !enough => {
                self.tally.slow += 1;
                self.start(now, offer, Phase::Slow, false, out);
            }
            _ => {
                self.tally.fast += (phase == Phase::Fast) as u64;
                self.stable(offer, out);
            }
        }
    }

    /// The stable phase: the decision goes to everyone.
    pub(crate) fn stable(&mut self, offer: Offer<C>, out: &mut Vec<Out<C>>) {
        self.leads.remove(&offer.cid);
        self.send_all(Message::Stable(offer), out);
    }

    /// Timeouts and repeats for all this controller leads.
    pub(crate) fn push_leads(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        let wait = self.rtt().times(2);
        let least = wait.max(Span::ms(20));
        let ids: Vec<CommandId> = self.leads.keys().copied().collect();
        for cid in ids {
            let l = &self.leads[&cid];
            let lost = self.ballots.get(&cid).is_some_and(|b| *b > l.offer.ballot);
            let known = self.h.get(&cid).is_some_and(|t| t.status == Status::Stable);
            if lost || known {
                self.leads.remove(&cid);
                continue;
            }
            if l.step == Step::Vote(Phase::Fast) && now - l.began >= wait {
                self.weigh(now, cid, true, out);
            }
            let n = self.roster.clone();
            let Some(l) = self.leads.get_mut(&cid) else {
                continue;
            };
            // Ever more seldom, and not while one of its size may still be on a slow link.
            let elapsed = Span((now - l.began).0 / 2).min(MOST_SELDOM);
            let transfer = Span(l.offer.cmd.bytes() as u64 * MICROS_A_BYTE);
            if now - l.sent >= least.max(elapsed).max(transfer) {
                l.sent = now;
                let msg = l.message();
                let (votes, finds) = (&l.votes, &l.finds);
                let silent: Vec<MemberId> =
                    n.into_iter().filter(|k| !votes.contains_key(k) && !finds.contains_key(k)).collect();
                silent.into_iter().for_each(|k| self.send(k, msg.clone(), out));
            }
        }
    }
}

impl<C: Command> Lead<C> {
    pub(crate) fn message(&self) -> Message<C> {
        let o = self.offer.clone();
        match self.step {
            Step::Prepare => Message::Recover(o.cid, o.ballot),
            Step::Vote(Phase::Fast) => Message::FastPropose(o, self.white),
            Step::Vote(Phase::Slow) => Message::SlowPropose(o),
            Step::Vote(Phase::Retry) => Message::Retry(o),
        }
    }
}
