//! Requests in hand, from the first look to the last word.
use crate::gate::Gate;
use brood::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wax::{Addr, Birth, Mono, Span, Token};

/// Who waits for a job's end.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    Local(Token),
    /// Another gate, and its number for the asking.
    Gate(Addr, u64),
}

#[derive(Debug)]
pub(crate) enum Stage {
    /// Waits for the object's home gate, asked then; true once it said it is at it.
    Home(Addr, Mono, bool),
    /// Waits for the combs' words.
    Claim(BTreeMap<Addr, Claimed>),
    /// Waits in line for leave to press the service.
    Line,
    /// A round is out; its number, where, until when it might have left.
    Out(Round, Mono),
}

/// A key claimed for one round.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub round: RoundId,
    pub key: String,
    pub print: u64,
    /// The key's combs, for each set of the roll as it was when it was claimed.
    pub named: Vec<Vec<Addr>>,
}

impl Claim {
    pub fn combs(&self) -> BTreeSet<Addr> {
        self.named.iter().flatten().copied().collect()
    }
    /// Two of three granted it, in every set.
    pub fn won(&self, votes: &BTreeMap<Addr, Claimed>) -> bool {
        let yes = |a: &&Addr| votes.get(a) == Some(&Claimed::Granted);
        !self.named.is_empty() && self.named.iter().all(|n| n.iter().filter(yes).count() >= 2)
    }
}

#[derive(Debug)]
pub(crate) struct Job {
    pub req: Req,
    pub svc: Svc,
    pub row: Row,
    /// The lane's, not the row's.
    pub kind: Kind,
    pub callers: Vec<Caller>,
    pub stage: Stage,
    pub began: Mono,
    pub staged: Mono,
    /// Rounds of which bytes may have reached an origin.
    pub tries: u32,
    /// Rounds that found no way out.
    pub unsent: u32,
    pub tried: Vec<(Addr, Birth)>,
    /// A purge (or a lapse) came in between: what was fetched before is not used.
    pub spoiled: bool,
    /// The object's comb was asked.
    pub stocked: bool,
    /// Keyed only: what was claimed of which combs.
    pub claim: Option<Claim>,
    /// Keyed only. Invariant: nothing leaves after this, however long we froze.
    pub must_leave: Mono,
}

impl Job {
    pub fn in_line(&self) -> bool {
        matches!(self.stage, Stage::Line)
    }
    pub fn object(&self) -> (Svc, Lane, String) {
        (self.svc.clone(), self.req.lane.clone(), self.req.path.clone())
    }
    /// Whether running it twice does no harm.
    pub fn safe(&self) -> bool {
        self.kind != Kind::Keyed && self.req.method == "GET"
    }
}

/// Requests one gate holds at a time.
const MOST: usize = 512;
const LINE: Span = Span::ms(700);
pub(crate) const HOME: Span = Span::ms(400);

impl Gate {
    pub(crate) fn begin(&mut self, now: Mono, t: Token, req: Req, out: &mut Vec<Out>) {
        self.count("requests");
        let job = self.admit(now, req);
        match job {
            Err(d) => self.tell(now, &Caller::Local(t), Step::Deny(d, come_back(d)), out),
            Ok(mut j) => {
                j.callers.push(Caller::Local(t));
                match j.kind {
                    Kind::Read => self.read(now, j, out),
                    Kind::Plain => {
                        self.launch(now, j, out);
                    }
                    Kind::Keyed => self.claim(now, j, out),
                }
            }
        }
    }

    /// A job for the request, or why it is denied.
    pub(crate) fn admit(&mut self, now: Mono, req: Req) -> Result<Job, Denied> {
        let yes = |ok: bool, d: Denied| ok.then_some(()).ok_or(d);
        yes(!self.draining, Denied::Leaving)?;
        yes(self.leased(now), Denied::NoLease)?;
        yes(self.jobs.len() < MOST, Denied::TooMany)?;
        let kind = self.table.kind(&req.lane).ok_or(Denied::NoLane)?;
        yes(kind != Kind::Read || req.method == "GET", Denied::BadMethod)?;
        yes(kind != Kind::Keyed || req.method != "GET", Denied::BadMethod)?;
        yes(kind != Kind::Keyed || req.key.is_some(), Denied::NoKey)?;
        // One object, and one key, always meets the same service.
        let spin = match kind {
            Kind::Read => wax::hash(&req.path),
            Kind::Keyed => wax::hash(&req.key),
            Kind::Plain => self.number().wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 16,
        };
        let (svc, row) = self.table.pick(&req.lane, spin).ok_or(Denied::NoOrigin)?;
        Ok(Job {
            req,
            svc,
            row,
            kind,
            callers: vec![],
            stage: Stage::Line,
            began: now,
            staged: now,
            tries: 0,
            unsent: 0,
            tried: vec![],
            spoiled: false,
            stocked: false,
            claim: None,
            must_leave: Mono(u64::MAX),
        })
    }

    pub(crate) fn tell(&mut self, now: Mono, c: &Caller, s: Step, out: &mut Vec<Out>) {
        match (c, s) {
            (Caller::Local(t), s) => {
                let name = match &s {
                    Step::Serve(_, Shared::Copy, _) => "served from copies",
                    Step::Serve(_, Shared::Record, _) => "served from records",
                    Step::Serve(..) => "served from origins",
                    Step::Deny(..) => "denied",
                    Step::Doubt(_) => "in doubt",
                };
                self.count(name);
                out.push(Out::Tell(*t, Receipt::Step(s)));
            }
            (Caller::Gate(a, ask), Step::Serve(w, _, until)) => {
                let copy = Some(((*w).clone(), until - now));
                out.push(Out::Send(*a, Msg::CopyGot { ask: *ask, copy }));
            }
            (Caller::Gate(a, ask), _) => out.push(Out::Send(*a, Msg::CopyGot { ask: *ask, copy: None })),
        }
    }

    /// The job's last word, to all who wait for it.
    pub(crate) fn finish(&mut self, now: Mono, id: u64, s: Step, out: &mut Vec<Out>) {
        if let Some(j) = self.jobs.remove(&id) {
            if self.fills.get(&j.object()) == Some(&id) {
                self.fills.remove(&j.object());
            }
            if matches!(s, Step::Deny(..)) {
                self.release(&j, out);
            }
            j.callers.iter().for_each(|c| self.tell(now, c, s.clone(), out));
        }
    }

    /// Denied means that nothing went out; after a try that did, it is doubt.
    pub(crate) fn deny(&mut self, now: Mono, id: u64, d: Denied, out: &mut Vec<Out>) {
        let sent = self.jobs.get(&id).is_some_and(|j| j.tries > 0);
        let s = if sent { Step::Doubt(come_back(d)) } else { Step::Deny(d, come_back(d)) };
        self.finish(now, id, s, out);
    }

    /// Waits that have gone on too long.
    pub(crate) fn expire_jobs(&mut self, now: Mono, out: &mut Vec<Out>) {
        let ids: Vec<u64> = self.jobs.keys().copied().collect();
        for id in ids {
            let j = &self.jobs[&id];
            let waited = now - j.staged;
            match &j.stage {
                Stage::Home(a, _, at_it) if waited > if *at_it { self.env.patience } else { HOME } => {
                    let a = *a;
                    self.mute.insert(a, now + Span::secs(2));
                    self.count("mute homes");
                    self.fill_here(now, id, out);
                }
                Stage::Claim(_) if waited > HOME => self.count_votes(now, id, true, out),
                Stage::Line if waited > LINE => self.deny(now, id, Denied::Ceiling, out),
                // The executor answers for its rounds; this is for one that died.
                Stage::Out(r, _) if now > r.horizon + Span::secs(5) => {
                    let n = r.n;
                    self.done(now, n, Fetched::Lost, out);
                }
                _ => (),
            }
        }
    }

    pub(crate) fn record(&self, whole: &Arc<Whole>, from: Shared, until: Mono) -> Step {
        Step::Serve(whole.clone(), from, until)
    }
}

/// When a denied client should ask again.
fn come_back(d: Denied) -> Span {
    match d {
        Denied::Ceiling | Denied::TooMany => Span::secs(2),
        Denied::NoLease | Denied::Leaving => Span::secs(3),
        _ => Span::secs(1),
    }
}
