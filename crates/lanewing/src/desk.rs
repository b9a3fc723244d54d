//! What each role answers over HTTP.
use control_state::*;
use primitives::{Addr, Look, LookProblem, Mono};
use runtime::cond::fit;
use runtime::front::{common, Reply};
use runtime::intake::Call;
use runtime::net::Counts;
use runtime::process::threads;
use runtime::shell::Handle;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tinyjson::JsonValue;

/// A change may have to wait for a lost edge's lease.
const CHANGE: Duration = Duration::from_secs(25);
const SHORT: Duration = Duration::from_secs(2);
/// Longer than any job of an edge lives.
const REQUEST: Duration = Duration::from_secs(30);

pub fn answer(h: &Handle, role: &str, counts: &Counts, c: Call) -> Reply {
    let own = c.path.starts_with("lanewing/");
    common(h, &c).unwrap_or_else(|| match (c.method.as_str(), c.path.as_str()) {
        ("GET", "lanewing/links") => links(counts),
        ("GET", "lanewing/table" | "lanewing/origins" | "lanewing/nodes") => show(h, &c),
        ("POST", "lanewing/changes") if role == "controller" => change(h, &c),
        ("POST", "lanewing/beats") if role == "controller" => beat(h, &c),
        ("POST", "lanewing/replace") if role == "controller" => replace(h, &c),
        _ if role == "edge" && !own => request(h, c),
        _ => Reply::problem(404, "not found", "nothing is served here under this path"),
    })
}

fn links(n: &Counts) -> Reply {
    let get = |c: &std::sync::atomic::AtomicU64| num(c.load(Relaxed));
    let mut v = vec![
        ("sent", get(&n.sent)),
        ("received", get(&n.received)),
        ("dropped", get(&n.dropped)),
        ("expired", get(&n.expired)),
        ("overflowed", get(&n.overflowed)),
        ("stalled", get(&n.stalled)),
        ("bad_frames", get(&n.bad_frames)),
    ];
    v.extend(threads().map(|n| ("threads", num(n))));
    Reply::json(200, obj(v))
}

fn show(h: &Handle, c: &Call) -> Reply {
    let Some(Receipt::Table(p, beats)) = h.ask(Ask::Table, SHORT) else {
        return Reply::problem(503, "stuck", "the process does not answer itself");
    };
    let era = ("era", num(p.era.0));
    let v = match c.path.as_str() {
        "lanewing/table" => vec![("rows", show_items(&p, false, |k| matches!(k, Key::Row(..)))), era],
        "lanewing/origins" => vec![
            ("origins", show_items(&p, false, |k| matches!(k, Key::Origin(_)))),
            ("beats", show_beats(&beats)),
            ("pairs", show_pairs(&p)),
        ],
        _ => {
            let nodes = show_items(&p, false, |k| matches!(k, Key::Node(_)));
            let ledger = show_items(&p, false, |k| matches!(k, Key::Roll));
            vec![("controllers", show_members(&p)), ("nodes", nodes), ("ledger", ledger), era]
        }
    };
    Reply::json(200, obj(v))
}

/// Changes being waited for; beats must always find a free thread.
static OPEN: AtomicUsize = AtomicUsize::new(0);
const MOST: usize = 96;

fn change(h: &Handle, c: &Call) -> Reply {
    let ch = match c.json(read_change) {
        Ok(ch) => ch,
        Err(r) => return r,
    };
    if OPEN.fetch_add(1, Relaxed) >= MOST {
        OPEN.fetch_sub(1, Relaxed);
        return Reply::problem(503, "not now", "too many changes at once").after(1);
    }
    let got = h.ask(Ask::Change(ch), CHANGE);
    OPEN.fetch_sub(1, Relaxed);
    match got {
        Some(Receipt::Change(v)) => {
            let status = match &v {
                Verdict::Done(_) => 200,
                Verdict::Stale(..) | Verdict::Void(Void::IdTaken | Void::OtherLife | Void::NothingNew) => 409,
                Verdict::Void(Void::Absent) => 404,
                Verdict::Flawed(_) => 422,
            };
            Reply::json(status, show_verdict(&v))
        }
        Some(Receipt::NotNow(why)) => Reply::problem(503, "not now", why).after(1),
        _ => Reply::problem(504, "in doubt", "not yet known to be in force; send it again with the same id")
            .after(1),
    }
}

fn beat(h: &Handle, c: &Call) -> Reply {
    let wait = |b: &Beat| if b.mood.ends() { CHANGE } else { SHORT };
    match c.json(read_beat).map(|(b, mark)| h.ask(Ask::Beat(b.clone(), mark), wait(&b))) {
        Ok(Some(r @ (Receipt::Took | Receipt::Change(_)))) => {
            // Said of a word of leaving: from now on no edge asks this origin.
            let force = ("in_force", JsonValue::from(matches!(r, Receipt::Change(Verdict::Done(_)))));
            Reply::json(
                200,
                obj(vec![("heard", JsonValue::from(true)), force, ("mark", num(runtime::now().0))]),
            )
        }
        Ok(_) => Reply::problem(503, "not now", "this controller reaches too few others").after(1),
        Err(r) => r,
    }
}

fn replace(h: &Handle, c: &Call) -> Reply {
    let read = |l: &Look| -> Result<(Addr, Addr), LookProblem> {
        l.only(&["old", "new"])?;
        let a = |n| l.field(n)?.parsed("an address such as 10.0.0.1:7100");
        Ok((a("old")?, a("new")?))
    };
    match c.json(read).map(|(old, new)| h.ask(Ask::Replace { old, new }, SHORT)) {
        Ok(Some(Receipt::Took)) => Reply::json(202, obj(vec![("proposed", JsonValue::from(true))])),
        Ok(Some(Receipt::NotNow(why))) => Reply::problem(409, "not now", why),
        Ok(_) => Reply::problem(503, "stuck", "the process does not answer itself"),
        Err(r) => r,
    }
}

fn denied(d: Denied) -> (u16, &'static str) {
    match d {
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

/// A caller's request: the edge decides, this obeys.
fn request(h: &Handle, c: Call) -> Reply {
    let (lane, path) = c.path.split_once('/').unwrap_or((&c.path, ""));
    let req = Req {
        method: c.method.clone(),
        lane: Lane(lane.to_string()),
        path: path.to_string(),
        key: c.key.clone(),
        heads: forwarded(&c),
        body: Arc::new(c.body),
        ..Req::default()
    };
    // The body's room is given back once the request is over.
    let _hold = c.hold;
    match h.ask(Ask::Begin(req), REQUEST) {
        Some(Receipt::Step(Step::Serve(w, from, until))) => fit(&c.method, &c.heads, served(&w, from, until)),
        Some(Receipt::Step(Step::Deny(d, wait))) => {
            let (status, why) = denied(d);
            let r = Reply::problem(status, "denied", why);
            if status == 503 {
                r.after(wait.0.div_ceil(1_000_000))
            } else {
                r
            }
        }
        Some(Receipt::Step(Step::Doubt(wait))) => {
            let why = "sent to an origin, whose answer was lost or is not known yet";
            Reply::problem(504, "in doubt", why).after(wait.0.div_ceil(1_000_000))
        }
        _ if h.stopping() => Reply::problem(503, "denied", "this node is leaving").after(1),
        _ => Reply::problem(504, "in doubt", "this node lost track of the request").after(2),
    }
}

/// What the origin gets of the fields: end to end, and who forwarded what for whom.
fn forwarded(c: &Call) -> Heads {
    let was =
        |n: &str| -> String { c.heads.all(n).map(|v| format!("{}, ", String::from_utf8_lossy(v))).collect() };
    let peer = c.peer.map(|p| p.ip().to_string()).unwrap_or_else(|| "unknown".into());
    let chain = format!("{}{peer}", was("x-forwarded-for"));
    let via = format!("{}1.1 lanewing", was("via"));
    let host = c.heads.get("x-forwarded-host").or(c.heads.get("host")).unwrap_or_default().to_string();
    let ours = ["x-forwarded-for", "x-forwarded-host", "via"];
    let kept = c.heads.end_to_end().without(|n| ours.contains(&n));
    kept.with("x-forwarded-for", chain).with("x-forwarded-host", host).with("via", via)
}

fn served(w: &Whole, from: Shared, until: Mono) -> Reply {
    let mut heads = w.heads.without(|n| n == "lanewing-length");
    let name = match from {
        Shared::Origin => "origin",
        Shared::Copy(aged) => {
            heads = heads.without(|n| n == "age").with("age", (aged.0 / 1_000_000).to_string());
            "copy"
        }
        Shared::Record => "record",
        Shared::Own => "lanewing",
    };
    let length = w.heads.get("lanewing-length").and_then(|n| n.parse().ok());
    let r = Reply::new(w.status, heads.with("lanewing-from", name), w.body.clone());
    Reply { length, until, hold: w.hold.clone(), ..r }
}
