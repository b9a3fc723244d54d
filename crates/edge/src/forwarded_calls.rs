//! Forwarded calls: requests to the control state that any node may receive. They are passed to a
//! controller that can answer, and to the next one if there is no answer in time.
use crate::edge::Edge;
use control_state::*;
use primitives::{Addr, Backoff, Mono, Span, Token};
use std::collections::BTreeMap;

/// Invariant: every call may be sent twice. Edits bear the id of the call, so that a second command with
/// them gets the verdict of the first, a refusal too; heartbeats carry versions; purges and reads can be
/// repeated without harm.
#[derive(Debug)]
pub(crate) struct ForwardedCall {
    /// Callers to answer, and when each one asked. Repeated requests with the same edits share one
    /// call.
    waiters: Vec<(Token, Mono)>,
    call: Call,
    began: Mono,
    /// When the next controller is asked too.
    next: Backoff,
    /// Controllers asked since the list was last exhausted.
    asked: Vec<Addr>,
    /// All attempts, for the report of a slow call.
    attempts: Vec<ForwardAttempt>,
    reason: &'static str,
}

impl ForwardedCall {
    fn new(now: Mono, token: Token, call: Call) -> ForwardedCall {
        let reason = "no controller is known yet";
        let waiters = vec![(token, now)];
        let next = Backoff::new(now, next_controller_delay(&call), MAX_CONTROLLER_BACKOFF);
        ForwardedCall { waiters, call, began: now, next, asked: vec![], attempts: vec![], reason }
    }

    fn has_same_edits(&self, call: &Call) -> bool {
        match (&self.call, call) {
            (Call::Change(own), Call::Change(other)) => own.has_same_edits(other),
            _ => false,
        }
    }

    /// Records that a controller is being asked.
    fn note_sent(&mut self, now: Mono, to: Addr) {
        self.asked.push(to);
        let (after, result) = (now - self.began, Attempt::Silent);
        self.attempts.push(ForwardAttempt { to, after, took: None, result });
    }

    /// Records the result of the last unanswered attempt at that controller.
    fn note_answer(&mut self, now: Mono, from: Addr, result: Attempt) {
        let since_begin = now - self.began;
        let open = |a: &&mut ForwardAttempt| a.to == from && a.result == Attempt::Silent;
        if let Some(attempt) = self.attempts.iter_mut().rev().find(open) {
            attempt.took = Some(Span(since_begin.0.saturating_sub(attempt.after.0)));
            attempt.result = result;
        }
    }

    /// The report of a slow or failed call, for the log. Heartbeats are too frequent to report.
    fn report(&self, now: Mono, answered: bool) -> Option<Out> {
        let what = match &self.call {
            Call::Read(_) => "reading",
            Call::Change(_) => "change",
            Call::OriginHeartbeat(_) | Call::SignOff(_) => return None,
        };
        let took = now - self.began;
        let attempts = self.attempts.clone();
        (!answered || took >= SLOW_CALL)
            .then(|| Out::Report(Report::ForwardedCall { what, clear: answered, took, attempts }))
    }
}

#[derive(Debug, Default)]
pub(crate) struct ForwardedCalls {
    open: BTreeMap<u64, ForwardedCall>,
    /// When each controller last answered a forwarded call.
    last_answers: BTreeMap<Addr, Mono>,
}

/// How long one controller may take before another one is asked too.
const NEXT_CONTROLLER_DELAY: Span = Span::ms(350);
/// Added to that delay for each edit of a call, because a large call takes longer to transfer; and
/// the maximum of the sum.
const DELAY_PER_EDIT: Span = Span::ms(2);
const MAX_CONTROLLER_DELAY: Span = Span::ms(1400);
/// Longest pause between two controllers: possibly all of them are slow rather than one lost.
const MAX_CONTROLLER_BACKOFF: Span = Span::ms(1400);

fn next_controller_delay(call: &Call) -> Span {
    match call {
        Call::Change(Change { op: Op::Edit(edits), .. }) => {
            let longer = NEXT_CONTROLLER_DELAY + DELAY_PER_EDIT.times(edits.len() as u64);
            longer.min(MAX_CONTROLLER_DELAY)
        }
        _ => NEXT_CONTROLLER_DELAY,
    }
}

/// Gives edits without an id that of the call.
fn with_id(call: Call, id: RequestId) -> Call {
    match call {
        Call::Change(Change { id: None, op: op @ Op::Edit(_) }) => {
            Call::Change(Change { id: Some(ChangeId::of_call(id)), op })
        }
        call => call,
    }
}

/// How long a caller waits for the answer to a call.
fn call_timeout(call: &Call) -> Span {
    match call {
        Call::OriginHeartbeat(_) | Call::SignOff(_) => Span::ms(900),
        Call::Read(_) => Span::secs(2),
        Call::Change(_) => Span::secs(4),
    }
}

impl ForwardedCalls {
    /// Number of calls in progress.
    pub(crate) fn open(&self) -> usize {
        self.open.len()
    }
}

impl Edge {
    /// Starts a call, or joins one that carries the same edits.
    pub(crate) fn forward_call(&mut self, now: Mono, token: Token, call: Call, out: &mut Vec<Out>) {
        let same = self.forwarded_calls.open.values_mut().find(|forwarded| forwarded.has_same_edits(&call));
        if let Some(forwarded) = same {
            return forwarded.waiters.push((token, now));
        }
        let n = self.number();
        let call = with_id(call, self.request_id(n));
        self.forwarded_calls.open.insert(n, ForwardedCall::new(now, token, call));
        self.send_forwarded_call(now, n, out);
    }

    /// The nearest controller; among equally near ones, the one that answered last.
    fn next_controller(&self, asked: &[Addr]) -> Option<Addr> {
        let own = &self.follow.env;
        let distance = |m: &Member| (m.addr.0.ip() != own.addr.0.ip(), m.zone != own.zone);
        let last_answer =
            |m: &Member| std::cmp::Reverse(self.forwarded_calls.last_answers.get(&m.addr).copied());
        let mut controllers: Vec<&Member> =
            self.follow.members.iter().filter(|m| !asked.contains(&m.addr)).collect();
        controllers.sort_by_key(|m| (distance(m), last_answer(m)));
        controllers.first().map(|m| m.addr)
    }

    fn send_forwarded_call(&mut self, now: Mono, n: u64, out: &mut Vec<Out>) {
        let Some(mut forwarded) = self.forwarded_calls.open.remove(&n) else { return };
        let to = self.next_controller(&forwarded.asked).or_else(|| {
            forwarded.asked.clear();
            self.next_controller(&[])
        });
        if let Call::Read(held) = &mut forwarded.call {
            *held = self.follow.digest();
        }
        if let Some(a) = to {
            forwarded.note_sent(now, a);
            out.push(Out::Send(a, Msg::Call(self.request_id(n), Box::new(forwarded.call.clone()))));
        }
        self.forwarded_calls.open.insert(n, forwarded);
    }

    /// The control state and the origins' heartbeats as known by this edge.
    pub(crate) fn own_table(&self, now: Mono) -> NodeReply {
        let state = ControlState {
            era: self.follow.era,
            members: self.follow.members.clone(),
            items: self.follow.items.clone(),
            ..ControlState::default()
        };
        let heartbeats = self.origin_health.heartbeats.values().map(|(b, t)| (b.clone(), now - *t)).collect();
        NodeReply::Table(Box::new(state), heartbeats)
    }

    /// A controller's answer: reported to the waiting callers, or another controller is asked.
    pub(crate) fn on_call_answered(
        &mut self,
        now: Mono,
        from: Addr,
        ask: RequestId,
        answer: CallAnswer,
        out: &mut Vec<Out>,
    ) {
        let Some(n) = self.own_request(ask) else { return };
        self.forwarded_calls.last_answers.insert(from, now);
        let Some(forwarded) = self.forwarded_calls.open.get_mut(&n) else { return };
        if let CallAnswer::Unavailable(why) = &answer {
            forwarded.note_answer(now, from, Attempt::Declined(why.clone()));
            forwarded.reason = "no reachable controller can answer at present";
            // Once every controller was asked, the next pass waits for its time.
            let all_asked = self.follow.members.iter().all(|m| forwarded.asked.contains(&m.addr));
            if !all_asked {
                self.send_forwarded_call(now, n, out);
            }
            return;
        }
        let mut forwarded = self.forwarded_calls.open.remove(&n).expect("found above");
        forwarded.note_answer(now, from, Attempt::Answered);
        out.extend(forwarded.report(now, true));
        // What is known now includes what was known when the call was sent.
        let reply = if answer == CallAnswer::Unchanged { self.own_table(now) } else { answer.receipt() };
        out.extend(forwarded.waiters.into_iter().map(|(t, _)| Out::Tell(t, reply.clone())));
    }

    /// Answers callers that have waited too long, and asks further controllers.
    pub(crate) fn advance_forwarded_calls(&mut self, now: Mono, out: &mut Vec<Out>) {
        for forwarded in self.forwarded_calls.open.values_mut() {
            let (timeout, reason) = (call_timeout(&forwarded.call), forwarded.reason);
            let is_late = |(_, began): &(Token, Mono)| now - *began >= timeout;
            out.extend(
                forwarded
                    .waiters
                    .iter()
                    .filter(|w| is_late(w))
                    .map(|(t, _)| Out::Tell(*t, NodeReply::Unavailable(reason))),
            );
            if forwarded.waiters.iter().any(is_late) {
                out.extend(forwarded.report(now, false));
            }
            forwarded.waiters.retain(|w| !is_late(w));
        }
        self.forwarded_calls.open.retain(|_, forwarded| !forwarded.waiters.is_empty());
        let is_due = |forwarded: &mut ForwardedCall| forwarded.next.due(now);
        let open = self.forwarded_calls.open.iter_mut();
        let due: Vec<u64> = open.filter_map(|(n, forwarded)| is_due(forwarded).then_some(*n)).collect();
        due.into_iter().for_each(|n| self.send_forwarded_call(now, n, out));
    }
}
