//! Callers' requests at an edge. The edge decides; this passes the request to it and its
//! decision back.
use control_state::*;
use primitives::{Mono, Span};
use runtime::conditional_requests::fit;
use runtime::front::Reply;
use runtime::request_parser::Call;
use runtime::shell::Handle;
use std::sync::Arc;
use std::time::Duration;

/// Longer than an edge keeps any request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Fields that are written anew for the origin.
const FORWARDING_FIELDS: [&str; 3] = ["x-forwarded-for", "x-forwarded-host", "via"];
const VIA: &str = "1.1 lanewing";

/// Answers a caller's request.
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
    // The memory for the body is released once the request is over.
    let _memory = call.hold;
    // Looked at first: what was handed over before the node stopped may have left.
    if handle.stopping() {
        return Reply::problem(503, "denied", "this node is leaving").after(1);
    }
    match handle.ask(Ask::Begin(request), REQUEST_TIMEOUT) {
        Some(NodeReply::Step(Step::Serve(whole, source, until))) => {
            fit(&call.method, &call.heads, served(&whole, source, until))
        }
        Some(NodeReply::Step(Step::Deny(denied, wait))) => denial(denied, wait),
        Some(NodeReply::Step(Step::OutcomeUnknown(wait))) => {
            let why = "sent to an origin, whose answer was lost or is not known yet";
            Reply::problem(504, "in doubt", why).after(seconds(wait))
        }
        _ => Reply::problem(504, "in doubt", "this node lost track of the request").after(2),
    }
}

/// In whole seconds, rounded up, as `Retry-After` has it.
fn seconds(span: Span) -> u64 {
    span.0.div_ceil(MICROS_PER_SECOND)
}

fn denial(denied: Denied, wait: Span) -> Reply {
    let (status, why) = denial_reason(denied);
    let reply = Reply::problem(status, "denied", why);
    if status == 503 {
        reply.after(seconds(wait))
    } else {
        reply
    }
}

fn denial_reason(denied: Denied) -> (u16, &'static str) {
    match denied {
        Denied::NoLane => (404, "no such lane"),
        Denied::NoKey => (400, "this lane needs an Idempotency-Key"),
        Denied::KeyReused => (422, "the key was used with another request"),
        Denied::BadMethod => (405, "not a method of this lane"),
        Denied::NoLease => (503, "this node may not serve: out of touch with the controllers"),
        Denied::NoOrigin => (503, "no usable origin"),
        Denied::Ceiling => (503, "the service is at its ceiling"),
        Denied::SplitVote => (503, "the key could not be secured"),
        Denied::Leaving => (503, "this node is leaving"),
        Denied::TooMany => (503, "this node holds too many requests"),
        Denied::KeyAtWork => (409, "another try of the key is under way, or its outcome is not known"),
        Denied::Refused => (503, "no origin could run it"),
    }
}

/// The fields that the origin gets: the end-to-end ones, and for whom this edge forwards.
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

fn served(whole: &Whole, source: AnswerSource, until: Mono) -> Reply {
    let mut fields = whole.heads.without(|name| name == "lanewing-length");
    let source = match source {
        AnswerSource::Origin => "origin",
        AnswerSource::Copy(age) => {
            let age = (age.0 / MICROS_PER_SECOND).to_string();
            fields = fields.without(|name| name == "age").with("age", age);
            "copy"
        }
        AnswerSource::Record => "record",
        AnswerSource::Own => "lanewing",
    };
    let length = whole.heads.get("lanewing-length").and_then(|length| length.parse().ok());
    let reply = Reply::new(whole.status, fields.with("lanewing-from", source), whole.body.clone());
    Reply { length, until, hold: whole.hold.clone(), ..reply }
}
