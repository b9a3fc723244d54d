//! Requests of callers, operators and origins, and the replies that they get.
use crate::world::{Event, World};
use control_state::*;
use primitives::{Addr, Mono, Span, Token};
use std::sync::Arc;

/// What is requested of a process.
#[derive(Clone, Debug)]
pub enum Want {
    Request(CallerRequest),
    Change(Change),
    /// The state as that process knows it.
    Table,
    /// The agreed state, read through an edge.
    Read,
    /// An origin deregisters under the name of its incarnation.
    SignOff(String),
    /// An `OriginHeartbeat` of that origin, and whether it announced that it leaves.
    OriginHeartbeat(Addr, bool),
    /// Which origins the edge wants probed.
    Probes,
    Ready,
    Drain,
}

impl Want {
    /// Whether it is the request of a caller.
    pub(crate) fn request(&self) -> bool {
        matches!(self, Want::Request(_))
    }
}

/// A request and its reply.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub token: Token,
    /// The process that was asked.
    pub at: Addr,
    pub want: Want,
    /// Virtual time of the request.
    pub asked: Mono,
    /// Virtual time of the reply.
    pub answered: Mono,
    pub receipt: NodeReply,
}

/// Request header that identifies an attempt.
pub const TRY: &str = "x-try";

impl World {
    /// Sends a request to a process; it gets no reply if the process is down.
    pub fn ask(&mut self, at: Addr, want: Want) -> Token {
        self.next_token += 1;
        let t = Token(self.next_token);
        let want = match want {
            // Makes each attempt distinguishable from all others.
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
            self.pending.insert(t, (at, want, self.now));
            self.at(Span(200), Event::Ask(at, t, ask));
        }
        t
    }

    /// The caller of this request closes its connection.
    pub fn hang_up(&mut self, token: Token) {
        if let Some((at, ..)) = self.pending.get(&token) {
            self.at(Span(200), Event::CallerGone(*at, token));
        }
    }

    /// Sends a GET request.
    pub fn get(&mut self, edge: Addr, lane: &str, path: &str) -> Token {
        self.ask(edge, Want::Request(req("GET", lane, path, None)))
    }

    /// Sends a POST request, with an idempotency key if one is given.
    pub fn post(&mut self, edge: Addr, lane: &str, path: &str, key: Option<&str>) -> Token {
        self.ask(edge, Want::Request(req("POST", lane, path, key)))
    }

    /// Sets a row of the table if its version is still `expect`.
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

    /// Purges a path prefix of a service; `id` identifies the change.
    pub fn purge(&mut self, controller: Addr, id: &str, svc: &str, prefix: &str) -> Token {
        let op = Op::Purge(vec![(svc.into(), prefix.into())]);
        self.ask(controller, Want::Change(Change { id: Some(id.into()), op }))
    }

    /// Records a reply, and checks it against the rules.
    pub(crate) fn record_reply(&mut self, a: Addr, t: Token, r: NodeReply) {
        let Some((at, want, asked)) = self.pending.remove(&t) else { return };
        match (&want, &r) {
            (Want::OriginHeartbeat(b, _), NodeReply::Unavailable(_)) => {
                self.origins.get_mut(b).into_iter().for_each(|b| b.controller += 1);
                self.count("beats not taken");
                return;
            }
            (Want::OriginHeartbeat(b, leaving), _) => {
                self.heartbeats_acknowledged.insert(at, self.now);
                self.signed_off.extend(Some(*b).filter(|_| *leaving));
                return;
            }
            (Want::Probes, NodeReply::Probes(all)) => return self.probe_all(a, all.clone()),
            _ => (),
        }
        let clock = self.procs.get(&a).map(|p| p.clock(self.now)).unwrap_or_default();
        if self.plan.serve_without_lease && self.edge(a).is_some_and(|g| !g.in_touch(clock)) {
            self.rules.detached.insert(a);
        }
        let s = Exchange { token: t, at, want, asked, answered: self.now, receipt: r };
        self.rules.check_reply(&s);
        self.exchanges.push(s);
    }

    /// The replies to the requests of callers.
    pub fn steps(&self) -> impl Iterator<Item = (&Exchange, &Step)> {
        self.exchanges.iter().filter_map(|s| match &s.receipt {
            NodeReply::Step(x) => Some((s, x)),
            _ => None,
        })
    }

    /// The replies to changes.
    pub fn changes(&self) -> impl Iterator<Item = (&Exchange, &Verdict)> {
        self.exchanges.iter().filter_map(|s| match &s.receipt {
            NodeReply::Change(v) => Some((s, v)),
            _ => None,
        })
    }
}

/// The identity of the caller: its credentials and cookies, concatenated.
pub fn who(r: &CallerRequest) -> String {
    ["authorization", "cookie"].iter().filter_map(|n| r.heads.get(n)).collect::<Vec<_>>().concat()
}

/// A request of a caller; all but GET and HEAD have the path as their body.
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
