//! A small fleet of real processes, from an empty folder to a clean stop. It waits for
//! conditions, generously, and judges nothing by time.
use control_state::{num, obj, text};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use primitives::Addr;
use stand_ins::web;
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use tinyjson::JsonValue;

const LANEWING: &str = env!("CARGO_BIN_EXE_lanewing");

/// Ends whatever it started, however the story ends.
struct Fleet {
    dir: PathBuf,
    /// Node, role, cohort and HTTP address.
    nodes: Vec<(u16, &'static str, Addr, Addr)>,
    origin: Addr,
    procs: BTreeMap<u16, Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.procs.values_mut().for_each(|c| {
            let _ = c.kill();
            let _ = c.wait();
        });
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Addresses that the system has free, all held until all are known.
fn free(n: usize) -> Vec<Addr> {
    let all: Vec<TcpListener> = (0..n).map(|_| TcpListener::bind("127.0.0.1:0").expect("loopback")).collect();
    all.iter().map(|l| Addr(l.local_addr().expect("bound"))).collect()
}

fn wait(what: &str, mut ok: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(90);
    while !ok() {
        assert!(Instant::now() < end, "{what} did not come about");
        thread::park_timeout(Duration::from_millis(20));
    }
}

fn field(v: &JsonValue, name: &str) -> Option<JsonValue> {
    v.get::<HashMap<String, JsonValue>>().and_then(|m| m.get(name).cloned())
}

impl Fleet {
    fn plan(dir: &Path) -> Fleet {
        let roles = [
            "controller",
            "controller",
            "controller",
            "controller",
            "edge",
            "edge",
            "ledger",
            "ledger",
            "ledger",
        ];
        let a = free(roles.len() * 2 + 1);
        let nodes: Vec<_> =
            roles.iter().enumerate().map(|(i, r)| (i as u16 + 1, *r, a[2 * i], a[2 * i + 1])).collect();
        let seeds = |me: u16| {
            let other = nodes[..4].iter().filter(|n| n.0 != me).take(3);
            JsonValue::from(other.map(|n| text(n.2)).collect::<Vec<_>>())
        };
        let node = |n: &(u16, &'static str, Addr, Addr)| {
            obj(vec![
                ("node", num(n.0 as u64)),
                ("role", text(n.1)),
                ("machine", text(format!("m{}", n.0))),
                ("zone", text(["r/a", "r/b", "r/c", "r/d"][n.0 as usize % 4])),
                ("cohort", text(n.2)),
                ("http", text(n.3)),
                ("seeds", seeds(n.0)),
            ])
        };
        let limits = obj(vec![("grace_ms", num(300)), ("ring_mb", num(4)), ("patience_ms", num(20_000))]);
        let env = obj(vec![
            ("deployment", text("story")),
            ("limits", limits),
            ("nodes", JsonValue::from(nodes.iter().map(node).collect::<Vec<_>>())),
        ]);
        std::fs::create_dir_all(dir).expect("a folder");
        std::fs::write(dir.join("env.json"), env.stringify().expect("JSON")).expect("written");
        Fleet { dir: dir.into(), nodes, origin: a[roles.len() * 2], procs: BTreeMap::new() }
    }

    fn spawn(&mut self, id: u16, args: &[String]) {
        let log = std::fs::File::options().create(true).append(true).open(self.dir.join(format!("{id}.log")));
        let log = log.expect("a log");
        let c =
            Command::new(LANEWING).args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        self.procs.insert(id, c.expect("lanewing starts"));
    }

    fn start(&mut self, id: u16) {
        let role = self.nodes[id as usize - 1].1;
        let (env, data) = (self.dir.join("env.json"), self.dir.join("data"));
        let args = [role, "--env", &env.display().to_string(), "--node", &id.to_string(), "--data"];
        let args: Vec<String> =
            args.iter().map(|s| s.to_string()).chain([data.display().to_string()]).collect();
        self.spawn(id, &args);
    }

    fn start_all(&mut self) {
        (1..=self.nodes.len() as u16).for_each(|id| self.start(id));
    }

    fn ready(&mut self) {
        let a = web::agent(Duration::from_secs(2));
        for (id, role, _, http) in self.nodes.clone() {
            wait(&format!("readiness of {role} {id}"), || {
                let ended = self.procs.get_mut(&id).map(|c| c.try_wait().expect("a child").is_some());
                assert_eq!(ended, Some(false), "{role} {id} ended by itself");
                web::get(&a, http, "lanewing/ready").is_some_and(|(s, _)| s == 200)
            });
        }
    }

    fn controllers(&self) -> String {
        self.nodes[..4].iter().map(|n| n.3.to_string()).collect::<Vec<_>>().join(",")
    }

    /// What an operator types.
    fn lanewing(&self, args: &str) -> Output {
        let args = args.split_whitespace();
        Command::new(LANEWING)
            .args(args)
            .env("LANEWING_AT", self.controllers())
            .output()
            .expect("lanewing runs")
    }

    fn signal(&mut self, id: u16, s: Signal) {
        kill(Pid::from_raw(self.procs[&id].id() as i32), s).expect("a signal");
    }

    fn ended(&mut self, id: u16) -> Option<i32> {
        let mut c = self.procs.remove(&id).expect("a process");
        let mut status = None;
        wait("a process's end", || {
            status = c.try_wait().expect("a child");
            status.is_some()
        });
        status.and_then(|s| s.code())
    }

    fn http(&self, id: u16) -> Addr {
        self.nodes[id as usize - 1].3
    }
}

/// Status, where it came from, and the bytes.
fn pay(at: Addr, key: &str) -> Option<(u16, String, Vec<u8>)> {
    let a = web::agent(Duration::from_secs(60));
    let q = a.post(format!("http://{at}/pay/sum")).header("Idempotency-Key", key);
    let mut r = q.header("Authorization", "Bearer me").send("5 euro").ok()?;
    let from = r.headers().get("lanewing-from").and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
    let body = r.body_mut().read_to_vec().ok()?;
    Some((r.status().as_u16(), from, body))
}

#[test]
fn given_a_fleet_from_an_empty_folder_when_it_serves_dies_and_returns_then_row_and_outcome_are_there() {
    let dir = std::env::temp_dir().join(format!("lanewing-story-{}", std::process::id()));
    let mut f = Fleet::plan(&dir);
    f.start_all();
    f.ready();
    let (origin, controllers) = (f.origin, f.controllers());
    let args = [
        "stub-origin",
        "--at",
        &origin.to_string(),
        "--service",
        "desk",
        "--zone",
        "r/a",
        "--controllers",
        &controllers,
    ];
    f.spawn(100, &args.map(str::to_string));
    for (lane, kind) in [("offers", "read"), ("pay", "keyed")] {
        let set = f.lanewing(&format!(
            "set {lane} desk --expect 0 --weight 1 --ceiling 100 --rank 1 --kind {kind} --ttl-ms 5000"
        ));
        assert!(set.status.success(), "{}", String::from_utf8_lossy(&set.stderr));
    }
    let stale = f.lanewing("set pay desk --expect 0 --weight 1 --ceiling 100 --rank 1 --kind keyed");
    assert_eq!(stale.status.code(), Some(1));
    let (a, b) = (f.http(5), f.http(6));
    let agent = web::agent(Duration::from_secs(30));
    wait("a page", || {
        agent.get(format!("http://{a}/offers/x?q=1")).call().is_ok_and(|r| r.status().as_u16() == 200)
    });
    let first = pay(a, "k1").expect("an answer");
    assert_eq!((first.0, first.1.as_str()), (200, "origin"));
    let again = pay(b, "k1").expect("an answer");
    assert_eq!((again.0, again.1.as_str(), &again.2), (200, "record", &first.2));
    // A slow one is in hand while its edge is told to stop.
    let slow = web::post(&agent, origin, "lanewing/fault", &obj(vec![("slow_ms", num(3000))]));
    assert_eq!(slow.map(|s| s.0), Some(200));
    let hand = thread::spawn(move || pay(a, "k2"));
    wait("a request in hand", || {
        let v = web::get(&agent, a, "lanewing/ready").map(|(_, v)| v);
        v.and_then(|v| field(&v, "in_hand")).and_then(|n| n.get::<f64>().copied()).is_some_and(|n| n > 0.0)
    });
    f.signal(5, Signal::SIGTERM);
    let got = hand.join().expect("a caller").expect("its answer was cut off");
    assert_eq!((got.0, got.1.as_str()), (200, "origin"));
    assert_eq!(f.ended(5), Some(0));
    // All of them die at once and return on their disks.
    let ids: Vec<u16> = f.procs.keys().copied().filter(|id| *id != 100).collect();
    ids.iter().for_each(|id| f.signal(*id, Signal::SIGKILL));
    ids.iter().for_each(|id| {
        f.ended(*id);
    });
    f.start_all();
    f.ready();
    let table = f.lanewing("table");
    let shown = String::from_utf8_lossy(&table.stdout).to_string();
    assert!(table.status.success() && shown.contains("offers") && shown.contains("pay"), "{shown}");
    let mut kept = None;
    wait("the recorded outcome", || {
        kept = pay(a, "k1").filter(|k| k.0 == 200);
        kept.is_some()
    });
    assert_eq!(kept.map(|k| (k.1, k.2)), Some(("record".into(), first.2)));
    let all: Vec<u16> = (1..=f.nodes.len() as u16).collect();
    all.iter().for_each(|id| f.signal(*id, Signal::SIGTERM));
    all.iter().for_each(|id| assert_eq!(f.ended(*id), Some(0), "node {id}"));
}
