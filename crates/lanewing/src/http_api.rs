//! What the roles answer over HTTP: control state, changes and beats here, callers' requests
//! in [`caller`].
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

/// A change may have to wait for the lease of an edge that was lost.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(25);
const LOCAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Changes that may wait at the same time, so that beats always find a free thread.
const MOST_CHANGES: usize = 96;
const RETRY_AFTER_S: u64 = 1;

static WAITING_CHANGES: AtomicUsize = AtomicUsize::new(0);

/// Answers one request to a process of this role.
pub fn answer(handle: &Handle, role: &str, counts: &Counts, call: Call) -> Reply {
    if let Some(reply) = common(handle, &call) {
        return reply;
    }
    let own = call.path.starts_with("lanewing/");
    let controller = role == "controller";
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "lanewing/links") => links(counts),
        ("GET", "lanewing/table" | "lanewing/origins" | "lanewing/nodes") => show(handle, &call.path),
        ("POST", "lanewing/changes") if controller => change(handle, &call),
        ("POST", "lanewing/beats") if controller => beat(handle, &call),
        ("POST", "lanewing/replace") if controller => replace(handle, &call),
        _ if role == "edge" && !own => caller::answer(handle, call),
        _ => Reply::problem(404, "not found", "nothing is served here under this path"),
    }
}

fn stuck() -> Reply {
    Reply::problem(503, "stuck", "the process does not answer itself")
}

fn not_now(why: impl ToString) -> Reply {
    Reply::problem(503, "not now", why).after(RETRY_AFTER_S)
}

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

fn show(handle: &Handle, path: &str) -> Reply {
    let Some(NodeReply::Table(state, beats)) = handle.ask(Ask::Table, LOCAL_TIMEOUT) else {
        return stuck();
    };
    let items = |wanted: fn(&Key) -> bool| show_items(&state, false, wanted);
    let era = ("era", num(state.era.0));
    let fields = match path {
        "lanewing/table" => vec![("rows", items(|key| matches!(key, Key::Row(..)))), era],
        "lanewing/origins" => vec![
            ("origins", items(|key| matches!(key, Key::Origin(_)))),
            ("beats", heartbeats_json(&beats)),
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

fn change(handle: &Handle, call: &Call) -> Reply {
    let change = match call.json(parse_change) {
        Ok(change) => change,
        Err(reply) => return reply,
    };
    if WAITING_CHANGES.fetch_add(1, Relaxed) >= MOST_CHANGES {
        WAITING_CHANGES.fetch_sub(1, Relaxed);
        return not_now("too many changes at once");
    }
    let receipt = handle.ask(Ask::Change(change), CHANGE_TIMEOUT);
    WAITING_CHANGES.fetch_sub(1, Relaxed);
    match receipt {
        Some(NodeReply::Change(verdict)) => Reply::json(verdict_status(&verdict), verdict_json(&verdict)),
        Some(NodeReply::Unavailable(why)) => not_now(why),
        _ => {
            let why = "not yet known to be in force; send it again with the same id";
            Reply::problem(504, "in doubt", why).after(RETRY_AFTER_S)
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

fn beat(handle: &Handle, call: &Call) -> Reply {
    let (beat, mark) = match call.json(parse_heartbeat) {
        Ok(read) => read,
        Err(reply) => return reply,
    };
    // One that says the origin leaves is answered once no edge asks that origin any more.
    let timeout = if beat.mood.ends() { CHANGE_TIMEOUT } else { LOCAL_TIMEOUT };
    let in_force = match handle.ask(Ask::OriginHeartbeat(beat, mark), timeout) {
        Some(NodeReply::Acknowledged) => false,
        Some(NodeReply::Change(verdict)) => matches!(verdict, Verdict::Done(_)),
        _ => return not_now("this controller reaches too few others"),
    };
    let fields = vec![
        ("heard", JsonValue::from(true)),
        ("in_force", JsonValue::from(in_force)),
        ("mark", num(runtime::now().0)),
    ];
    Reply::json(200, obj(fields))
}

fn read_replacement(look: &Look) -> Result<(Addr, Addr), JsonError> {
    look.only(&["old", "new"])?;
    let addr = |name| look.field(name)?.parsed("an address such as 10.0.0.1:7100");
    Ok((addr("old")?, addr("new")?))
}

fn replace(handle: &Handle, call: &Call) -> Reply {
    let (old, new) = match call.json(read_replacement) {
        Ok(addrs) => addrs,
        Err(reply) => return reply,
    };
    match handle.ask(Ask::Replace { old, new }, LOCAL_TIMEOUT) {
        Some(NodeReply::Acknowledged) => Reply::json(202, obj(vec![("proposed", JsonValue::from(true))])),
        Some(NodeReply::Unavailable(why)) => Reply::problem(409, "not now", why),
        _ => stuck(),
    }
}
