//! Callers' requests at an edge: translates each into a request to the edge's state machine and
//! the edge's decision into an HTTP response.
use control_state::*;
use primitives::{Mono, Span};
use runtime::conditional_requests::fit;
use runtime::front::Reply;
use runtime::request_parser::Call;
use runtime::shell::Handle;
use std::sync::Arc;
use std::time::Duration;

/// Longer than an edge holds any request, so that the edge always decides first.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Header fields that this edge replaces when it forwards a request.
const FORWARDING_FIELDS: [&str; 3] = ["x-forwarded-for", "x-forwarded-host", "via"];
const VIA: &str = "1.1 lanewing";

/// Answers a caller's request. The first segment of the path names the route.
pub fn answer(handle: &Handle, call: Call) -> Reply {
    let (lane, path) = call.path.split_once('/').unwrap_or((&call.path, ""));
    let request = CallerRequest {
        method: call.method.clone(),
        lane: Lane(lane.to_string()),
        path: path.to_string(),
        key: call.key.clone(),
        heads: forwarded_fields(&call),
        body: Arc::new(call.body),
        ..CallerRequest::default()
    };
    // Held until the request ends: dropping it releases the memory budget of the body.
    let _memory_hold = call.hold;
    // Checked first: after the node has stopped it no longer answers requests handed to it.
    if handle.stopping() {
        return Reply::problem(503, "denied", "this node is shutting down").after(1);
    }
    match handle.ask(Ask::Begin(request), REQUEST_TIMEOUT) {
        Some(NodeReply::Step(Step::Serve(whole, source, until))) => {
            fit(&call.method, &call.heads, served(&whole, source, until))
        }
        Some(NodeReply::Step(Step::Deny(denied, wait))) => denial(denied, wait),
        Some(NodeReply::Step(Step::OutcomeUnknown(wait))) => {
            let reason = "the request was sent to an origin, but its outcome is not known";
            Reply::problem(504, "in doubt", reason).after(seconds(wait))
        }
        _ => Reply::problem(504, "in doubt", "this node did not answer in time; the outcome is not known")
            .after(2),
    }
}

/// Whole seconds, rounded up, as `Retry-After` requires.
fn seconds(span: Span) -> u64 {
    span.0.div_ceil(MICROS_PER_SECOND)
}

/// The response to a denied request; only a 503 says when to retry.
fn denial(denied: Denied, wait: Span) -> Reply {
    let (status, reason) = denial_reason(denied);
    let reply = Reply::problem(status, "denied", reason);
    if status == 503 {
        reply.after(seconds(wait))
    } else {
        reply
    }
}

fn denial_reason(denied: Denied) -> (u16, &'static str) {
    match denied {
        Denied::NoLane => (404, "unknown lane"),
        Denied::NoKey => (400, "this lane requires an Idempotency-Key"),
        Denied::KeyReused => (422, "the Idempotency-Key was already used with a different request"),
        Denied::BadMethod => (405, "the lane does not allow this method"),
        Denied::NoLease => (503, "no configuration lease: this node cannot reach the controllers"),
        Denied::NoOrigin => (503, "no origin is available"),
        Denied::Ceiling => (503, "the service has reached its rate limit"),
        Denied::SplitVote => (503, "not enough ledgers confirmed the Idempotency-Key"),
        Denied::Leaving => (503, "this node is draining"),
        Denied::TooMany => (503, "this node has too many requests"),
        Denied::KeyAtWork => {
            (409, "another request with this Idempotency-Key is in progress, or its outcome is not known")
        }
        Denied::Refused => (503, "no origin accepted the request"),
    }
}

/// The header fields sent to the origin: the end-to-end ones, with `X-Forwarded-For`,
/// `X-Forwarded-Host` and `Via` extended by this edge.
fn forwarded_fields(call: &Call) -> Headers {
    let earlier = |name: &str| -> String {
        call.heads.all(name).map(|value| format!("{}, ", String::from_utf8_lossy(value))).collect()
    };
    let peer = call.peer.map_or_else(|| "unknown".into(), |peer| peer.ip().to_string());
    let forwarded_for = format!("{}{peer}", earlier("x-forwarded-for"));
    let via = format!("{}{VIA}", earlier("via"));
    let host = call.heads.get("x-forwarded-host").or(call.heads.get("host")).unwrap_or_default();
    let fields = call.heads.end_to_end().without(|name| FORWARDING_FIELDS.contains(&name));
    let fields = fields.with("x-forwarded-for", forwarded_for);
    fields.with("x-forwarded-host", host.to_string()).with("via", via)
}

/// The response with a complete answer, and with its source in `Lanewing-From`. `until` is the
/// deadline for sending it.
fn served(whole: &Whole, source: AnswerSource, until: Mono) -> Reply {
    let mut fields = whole.heads.without(|name| name == "lanewing-length");
    let source = match source {
        AnswerSource::Origin => "origin",
        AnswerSource::Copy(age) => {
            let age_s = (age.0 / MICROS_PER_SECOND).to_string();
            fields = fields.without(|name| name == "age").with("age", age_s);
            "copy"
        }
        AnswerSource::Record => "record",
        AnswerSource::Own => "lanewing",
    };
    let length = whole.heads.get("lanewing-length").and_then(|length| length.parse().ok());
    let reply = Reply::new(whole.status, fields.with("lanewing-from", source), whole.body.clone());
    Reply { length, until, hold: whole.hold.clone(), ..reply }
}
