//! Callers and operators: what they ask, and what they are told.
use crate::world::{Ev, World};
use control_state::*;
use primitives::{Addr, Mono, Span, Token};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub enum Want {
    Request(CallerRequest),
    Change(Change),
    Table,
    /// The whole state by agreement, through an edge.
    Read,
    /// An origin signs off by what it calls its life.
    SignOff(String),
    /// A beat of that origin; whether it said that it leaves.
    OriginHeartbeat(Addr, bool),
    Probes,
    Ready,
    Drain,
}

impl Want {
    pub(crate) fn request(&self) -> bool {
        matches!(self, Want::Request(_))
    }
}

/// A question and its receipt, with both times.
#[derive(Clone, Debug)]
pub struct Seen {
    pub token: Token,
    pub at: Addr,
    pub want: Want,
    pub asked: Mono,
    pub told: Mono,
    pub receipt: NodeReply,
}

/// Names a try.
pub(crate) const TRY: &str = "x-try";

impl World {
    pub fn ask(&mut self, at: Addr, want: Want) -> Token {
        self.next_token += 1;
        let t = Token(self.next_token);
        let want = match want {
            // Each try can be told from every other one.
            Want::Request(r) => {
                Want::Request(CallerRequest { heads: r.heads.with(TRY, t.0.to_string()), ..r })
            }
            w => w,
        };
        let ask = match &want {
            Want::Request(r) => Ask::Begin(r.clone()),
            Want::Change(c) => Ask::Change(c.clone()),
            Want::Table => Ask::Table,
            Want::Read => Ask::Read,
            Want::SignOff(tag) => Ask::SignOff(tag.clone()),
            Want::Drain => Ask::Drain,
            Want::Ready | Want::OriginHeartbeat(..) | Want::Probes => Ask::Ready,
        };
        let up = self.procs.get(&at).is_some_and(|p| p.part.is_some());
        if up {
            self.wants.insert(t, (at, want, self.now));
            self.at(Span(200), Ev::Ask(at, t, ask));
        }
        t
    }

    pub fn get(&mut self, edge: Addr, lane: &str, path: &str) -> Token {
        self.ask(edge, Want::Request(req("GET", lane, path, None)))
    }

    pub fn post(&mut self, edge: Addr, lane: &str, path: &str, key: Option<&str>) -> Token {
        self.ask(edge, Want::Request(req("POST", lane, path, key)))
    }

    /// Sets a row; `expect` is the version it should still have.
    pub fn set_row(
        &mut self,
        controller: Addr,
        id: &str,
        lane: &str,
        svc: &str,
        expect: u64,
        row: Row,
    ) -> Token {
        let op = Op::Row {
            lane: lane.into(),
            svc: svc.into(),
            expect: primitives::Version(expect),
            row: Some(row),
        };
        self.ask(controller, Want::Change(Change { id: Some(id.into()), op }))
    }

    pub fn purge(&mut self, controller: Addr, id: &str, svc: &str, prefix: &str) -> Token {
        let op = Op::Purge(vec![(svc.into(), prefix.into())]);
        self.ask(controller, Want::Change(Change { id: Some(id.into()), op }))
    }

    pub(crate) fn told(&mut self, a: Addr, t: Token, r: NodeReply) {
        let Some((at, want, asked)) = self.wants.remove(&t) else { return };
        match (&want, &r) {
            (Want::OriginHeartbeat(b, _), NodeReply::Unavailable(_)) => {
                self.blooms.get_mut(b).into_iter().for_each(|b| b.controller += 1);
                self.count("beats not taken");
                return;
            }
            (Want::OriginHeartbeat(b, last_word), _) => {
                self.beats_taken.insert(at, self.now);
                self.signed_off.extend(Some(*b).filter(|_| *last_word));
                return;
            }
            (Want::Probes, NodeReply::Probes(all)) => return self.probe_all(a, all.clone()),
            _ => (),
        }
        let clock = self.procs.get(&a).map(|p| p.clock(self.now)).unwrap_or_default();
        if self.plan.serve_without_lease && self.edge(a).is_some_and(|g| !g.in_touch(clock)) {
            self.rules.apart.insert(a);
        }
        let s = Seen { token: t, at, want, asked, told: self.now, receipt: r };
        self.rules.told(&s);
        self.seen.push(s);
    }

    /// The receipts of requests, of a kind a story asks about.
    pub fn steps(&self) -> impl Iterator<Item = (&Seen, &Step)> {
        self.seen.iter().filter_map(|s| match &s.receipt {
            NodeReply::Step(x) => Some((s, x)),
            _ => None,
        })
    }

    pub fn changes(&self) -> impl Iterator<Item = (&Seen, &Verdict)> {
        self.seen.iter().filter_map(|s| match &s.receipt {
            NodeReply::Change(v) => Some((s, v)),
            _ => None,
        })
    }
}

/// Whose request it is.
pub fn who(r: &CallerRequest) -> String {
    ["authorization", "cookie"].iter().filter_map(|n| r.heads.get(n)).collect::<Vec<_>>().concat()
}

pub fn req(method: &str, lane: &str, path: &str, key: Option<&str>) -> CallerRequest {
    let reads = ["GET", "HEAD"].contains(&method);
    let body = if reads { vec![] } else { path.as_bytes().to_vec() };
    CallerRequest {
        method: method.into(),
        lane: lane.into(),
        path: path.into(),
        key: key.map(str::to_string),
        heads: Headers::default(),
        body: Arc::new(body),
        ..CallerRequest::default()
    }
}
