//! The HTTP API of the roles. Control state, changes and origin heartbeats are handled here,
//! callers' requests in [`caller`].
use control_state::*;
use primitives::{Addr, JsonError, Look};
use runtime::front::{common, Reply};
use runtime::net::Counts;
use runtime::process::threads;
use runtime::request_parser::Call;
use runtime::shell::Handle;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::time::Duration;
use tinyjson::JsonValue;

mod caller;

/// Timeout of a change, which may have to wait until the lease of a failed edge expires.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(25);
/// Timeout of what the process answers from its own state.
const LOCAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on changes that wait at the same time, so that threads remain free for heartbeats.
const MAX_WAITING_CHANGES: usize = 96;
/// `Retry-After` of a 503 or 504, in seconds.
const RETRY_AFTER_S: u64 = 1;

static WAITING_CHANGES: AtomicUsize = AtomicUsize::new(0);

/// Answers one HTTP request to a process with this role.
pub fn answer(handle: &Handle, role: &str, counts: &Counts, call: Call) -> Reply {
    if let Some(reply) = common(handle, &call) {
        return reply;
    }
    let own_path = call.path.starts_with("lanewing/");
    let controller = role == "controller";
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "lanewing/links") => links(counts),
        ("GET", "lanewing/table" | "lanewing/origins" | "lanewing/nodes") => show(handle, &call.path),
        ("POST", "lanewing/changes") if controller => change(handle, &call),
        ("POST", "lanewing/beats") if controller => origin_heartbeat(handle, &call),
        ("POST", "lanewing/replace") if controller => replace(handle, &call),
        _ if role == "edge" && !own_path => caller::answer(handle, call),
        _ => Reply::problem(404, "not found", "no resource with this method and path"),
    }
}

/// The node thread did not answer within the timeout.
fn unresponsive() -> Reply {
    Reply::problem(503, "stuck", "the process did not answer in time")
}

/// A 503 that asks the client to retry.
fn unavailable(reason: impl ToString) -> Reply {
    Reply::problem(503, "not now", reason).after(RETRY_AFTER_S)
}

/// Traffic counters of this process's links to its peers.
fn links(counts: &Counts) -> Reply {
    let load = |counter: &AtomicU64| num(counter.load(Relaxed));
    let mut fields = vec![
        ("sent", load(&counts.sent)),
        ("received", load(&counts.received)),
        ("dropped", load(&counts.dropped)),
        ("expired", load(&counts.expired)),
        ("overflowed", load(&counts.overflowed)),
        ("stalled", load(&counts.stalled)),
        ("bad_frames", load(&counts.bad_frames)),
        ("other_versions", load(&counts.other_versions)),
    ];
    fields.extend(threads().map(|n| ("threads", num(n))));
    Reply::json(200, obj(fields))
}

/// Serves the table, the origins or the nodes.
fn show(handle: &Handle, path: &str) -> Reply {
    let Some(NodeReply::Table(state, heartbeats)) = handle.ask(Ask::Table, LOCAL_TIMEOUT) else {
        return unresponsive();
    };
    let items = |wanted: fn(&Key) -> bool| show_items(&state, false, wanted);
    let era = ("era", num(state.era.0));
    let fields = match path {
        "lanewing/table" => vec![("rows", items(|key| matches!(key, Key::Row(..)))), era],
        "lanewing/origins" => vec![
            ("origins", items(|key| matches!(key, Key::Origin(_)))),
            ("beats", heartbeats_json(&heartbeats)),
            ("pairs", standby_origins_json(&state)),
        ],
        _ => vec![
            ("controllers", members_json(&state)),
            ("nodes", items(|key| matches!(key, Key::Node(_)))),
            ("ledger", items(|key| matches!(key, Key::Roll))),
            era,
        ],
    };
    Reply::json(200, obj(fields))
}

/// Submits a change and waits until it is in force.
fn change(handle: &Handle, call: &Call) -> Reply {
    let change = match call.json(parse_change) {
        Ok(change) => change,
        Err(reply) => return reply,
    };
    if WAITING_CHANGES.fetch_add(1, Relaxed) >= MAX_WAITING_CHANGES {
        WAITING_CHANGES.fetch_sub(1, Relaxed);
        return unavailable("too many changes are waiting");
    }
    let receipt = handle.ask(Ask::Change(change), CHANGE_TIMEOUT);
    WAITING_CHANGES.fetch_sub(1, Relaxed);
    match receipt {
        Some(NodeReply::Change(verdict)) => Reply::json(verdict_status(&verdict), verdict_json(&verdict)),
        Some(NodeReply::Unavailable(reason)) => unavailable(reason),
        _ => {
            let reason = "the outcome is not known yet; retry with the same id";
            Reply::problem(504, "in doubt", reason).after(RETRY_AFTER_S)
        }
    }
}

fn verdict_status(verdict: &Verdict) -> u16 {
    match verdict {
        Verdict::Done(_) => 200,
        Verdict::Stale(..) => 409,
        Verdict::Void(Void::IdTaken | Void::OtherLife | Void::NothingNew) => 409,
        Verdict::Void(Void::Absent) => 404,
        Verdict::InvalidEdit(_) => 422,
        Verdict::Conflict(_) => 409,
        Verdict::Forgotten(_) => 503,
    }
}

/// Records one of an origin's heartbeats.
fn origin_heartbeat(handle: &Handle, call: &Call) -> Reply {
    let (message, mark) = match call.json(parse_heartbeat) {
        Ok(parsed) => parsed,
        Err(reply) => return reply,
    };
    // A message that announces the origin's departure is answered only after all edges have
    // stopped sending it requests.
    let timeout = if message.mood.ends() { CHANGE_TIMEOUT } else { LOCAL_TIMEOUT };
    let in_force = match handle.ask(Ask::OriginHeartbeat(message, mark), timeout) {
        Some(NodeReply::Acknowledged) => false,
        Some(NodeReply::Change(verdict)) => matches!(verdict, Verdict::Done(_)),
        _ => return unavailable("this controller cannot reach a quorum"),
    };
    let fields = vec![
        ("heard", JsonValue::from(true)),
        ("in_force", JsonValue::from(in_force)),
        ("mark", num(runtime::now().0)),
    ];
    Reply::json(200, obj(fields))
}

/// Parses the cohort addresses of the controller to replace and of its replacement.
fn read_replacement(look: &Look) -> Result<(Addr, Addr), JsonError> {
    look.only(&["old", "new"])?;
    let addr = |name| look.field(name)?.parsed("an address such as 10.0.0.1:7100");
    Ok((addr("old")?, addr("new")?))
}

/// Proposes to replace one controller by another; answers before the change is decided.
fn replace(handle: &Handle, call: &Call) -> Reply {
    let (old, new) = match call.json(read_replacement) {
        Ok(addrs) => addrs,
        Err(reply) => return reply,
    };
    match handle.ask(Ask::Replace { old, new }, LOCAL_TIMEOUT) {
        Some(NodeReply::Acknowledged) => Reply::json(202, obj(vec![("proposed", JsonValue::from(true))])),
        Some(NodeReply::Unavailable(reason)) => Reply::problem(409, "not now", reason),
        _ => unresponsive(),
    }
}
