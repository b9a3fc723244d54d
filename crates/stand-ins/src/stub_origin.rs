//! A stub_origin: a stand-in origin that beats, serves, misbehaves on request and
//! keeps count of all that reached it.
use crate::content::page;
use crate::web;
use control_state::{digest, list, num, obj, text};
use primitives::{parse, Addr, Look, LookProblem};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tiny_http::{Header, Request, Response, Server};
use tinyjson::JsonValue;

#[derive(Clone, Debug)]
pub struct StubOriginEnv {
    pub at: Addr,
    pub svc: String,
    pub zone: String,
    pub cap: u32,
    /// Controllers' HTTP addresses, to beat to.
    pub controllers: Vec<Addr>,
    /// How long an answer takes.
    pub work: Duration,
}

/// How it misbehaves; nought is never.
#[derive(Clone, Debug, Default)]
struct Fault {
    slow_ms: u64,
    lose_every: u64,
    cut_every: u64,
    wrong_every: u64,
    mood: Option<String>,
    /// Which edition of its content it serves.
    edition: u64,
}

#[derive(Default)]
struct Seen {
    hits: BTreeMap<String, u64>,
    keys: BTreeMap<String, Vec<u64>>,
    /// Arrivals by tenth of a second of wall time.
    pace: BTreeMap<u64, u64>,
    misdirected: u64,
    in_hand: u32,
    count: u64,
    fault: Fault,
}

type Shared = Arc<Mutex<Seen>>;

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Serves until the process is ended. False if it could not listen.
pub fn run(env: StubOriginEnv) -> bool {
    let birth = runtime::life();
    let seen: Shared = Arc::default();
    let Ok(l) = TcpListener::bind(env.at.0) else { return false };
    let Ok(server) = Server::from_listener(l, None) else { return false };
    let server = Arc::new(server);
    for _ in 0..64 {
        let (server, seen, env) = (server.clone(), seen.clone(), env.clone());
        thread::spawn(move || {
            while let Ok(req) = server.recv() {
                serve(req, &seen, &env, birth);
            }
        });
    }
    beat(&env, &seen, birth);
    true
}

fn beat(env: &StubOriginEnv, seen: &Shared, birth: u64) {
    let agent = web::agent(Duration::from_millis(400));
    let mut k = birth as usize % env.controllers.len().max(1);
    let mut mark: Option<JsonValue> = None;
    loop {
        let (mood, hand) = {
            let s = seen.lock().expect("no thread panics with it");
            (s.fault.mood.clone().unwrap_or("serving".into()), s.in_hand)
        };
        let mut b = vec![
            ("service", text(&env.svc)),
            ("address", text(env.at)),
            ("birth", num(birth)),
            ("zone", text(&env.zone)),
            ("cap", num(env.cap as u64)),
            ("occupancy", num(hand as u64)),
            ("mood", text(&mood)),
        ];
        b.extend(mark.take().map(|m| ("mark", m)));
        let heard = env.controllers.get(k).and_then(|a| web::post(&agent, *a, "lanewing/beats", &obj(b)));
        match heard {
            // Of this controller's clock, so given back to no other.
            Some((200, v)) => {
                mark = v.get().and_then(|m: &HashMap<String, JsonValue>| m.get("mark").cloned())
            }
            _ => k = (k + 1) % env.controllers.len().max(1),
        }
        thread::sleep(Duration::from_millis(200));
    }
}

fn reply(req: Request, status: u16, mime: &str, body: Vec<u8>) {
    reply_with(req, status, mime, body, vec![])
}

fn reply_with(req: Request, status: u16, mime: &str, body: Vec<u8>, more: Vec<(&str, String)>) {
    let heads = [("Content-Type", mime.to_string()), ("Content-Digest", digest(&body))];
    let heads = heads.into_iter().chain(more);
    let mut r = Response::from_data(body).with_status_code(status);
    for (n, v) in heads {
        r.add_header(Header::from_bytes(n.as_bytes(), v.as_bytes()).expect("plain header"));
    }
    let _ = req.respond(r);
}

fn json(req: Request, v: JsonValue) {
    reply(req, 200, "application/json", v.stringify().unwrap_or_default().into_bytes());
}

fn serve(mut req: Request, seen: &Shared, env: &StubOriginEnv, birth: u64) {
    let path = req.url().trim_start_matches('/').to_string();
    match path.as_str() {
        "lanewing/probe" => {
            let mood = seen.lock().expect("sound").fault.mood.clone().unwrap_or("serving".into());
            let v = obj(vec![("service", text(&env.svc)), ("birth", num(birth)), ("mood", text(mood))]);
            json(req, v)
        }
        "lanewing/tally" => {
            let v = tally(&seen.lock().expect("sound"), env);
            json(req, v)
        }
        "lanewing/fault" => {
            let mut s = String::new();
            let _ = req.as_reader().read_to_string(&mut s);
            let f = parse(&s).and_then(|v| read_fault(&Look::at(&v, "")));
            let ok = f.map(|f| seen.lock().expect("sound").fault = f).is_ok();
            json(req, obj(vec![("taken", JsonValue::from(ok))]))
        }
        _ => content(req, path, seen, env, birth),
    }
}

fn read_fault(l: &Look) -> Result<Fault, LookProblem> {
    let n = |f: &str| l.opt(f)?.map(|x| x.num(0, 1_000_000)).unwrap_or(Ok(0));
    Ok(Fault {
        slow_ms: n("slow_ms")?,
        lose_every: n("lose_every")?,
        cut_every: n("cut_every")?,
        wrong_every: n("wrong_every")?,
        mood: l.opt("mood")?.map(|x| x.text()).transpose()?,
        edition: n("edition")?,
    })
}

fn tally(s: &Seen, env: &StubOriginEnv) -> JsonValue {
    let hits = s.hits.iter().map(|(k, n)| (k.as_str(), num(*n))).collect();
    let times = |v: &Vec<u64>| list(v.iter().map(|t| num(*t)).collect());
    let keys = s.keys.iter().map(|(k, v)| (k.as_str(), times(v))).collect();
    let pace = s.pace.iter().map(|(t, n)| list(vec![num(*t), num(*n)])).collect();
    obj(vec![
        ("service", text(&env.svc)),
        ("hits", obj(hits)),
        ("keys", obj(keys)),
        ("pace", list(pace)),
        ("misdirected", num(s.misdirected)),
    ])
}

fn content(mut req: Request, path: String, seen: &Shared, env: &StubOriginEnv, birth: u64) {
    let head = |n: &'static str| {
        let h = req.headers().iter().find(|h| h.field.equiv(n));
        h.map(|h| h.value.as_str().to_string())
    };
    let (key, lane) = (head("Idempotency-Key"), head("Lanewing-Lane").unwrap_or_default());
    let echo = head("X-LoadClient").unwrap_or_default();
    let meant = head("Lanewing-Birth").is_none_or(|b| b == birth.to_string());
    let mut sent = vec![];
    let _ = req.as_reader().read_to_end(&mut sent);
    let (fault, n) = {
        let mut s = seen.lock().expect("sound");
        s.misdirected += !meant as u64;
        s.count += 1;
        s.in_hand += 1;
        *s.pace.entry(wall_ms() / 100).or_default() += 1;
        match &key {
            Some(k) => s.keys.entry(k.clone()).or_default().push(wall_ms()),
            None => *s.hits.entry(format!("{lane}/{path}")).or_default() += 1,
        }
        (s.fault.clone(), s.count)
    };
    thread::sleep(env.work + Duration::from_millis(fault.slow_ms));
    seen.lock().expect("sound").in_hand -= 1;
    if !meant {
        return reply(req, 421, "text/plain", b"another life of this address was meant".to_vec());
    }
    let every = |e: u64| e > 0 && n.is_multiple_of(e);
    let mut body = page(&env.svc, &path);
    if every(fault.lose_every) {
        drop(req.into_writer());
    } else if every(fault.cut_every) {
        let mut w = req.into_writer();
        let _ = write!(w, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let _ = w.write_all(&body[..body.len() / 2]);
        let _ = w.flush();
    } else if every(fault.wrong_every) {
        let named = digest(&body);
        body[20] ^= 1;
        let h = Header::from_bytes("Content-Digest", named).expect("plain header");
        let _ = req.respond(Response::from_data(body).with_header(h));
    } else {
        // When it was made, of which edition, and for whom.
        let said = vec![
            ("X-Made", wall_ms().to_string()),
            ("X-Edition", fault.edition.to_string()),
            ("X-Echo", echo),
        ];
        reply_with(req, 200, "text/plain", body, said)
    }
}
