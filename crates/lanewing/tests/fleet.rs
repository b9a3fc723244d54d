//! A small fleet of real processes, from an empty folder to a clean stop. The test waits for
//! conditions with a generous timeout and asserts nothing about durations.
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

/// The processes of a fleet. Dropping it kills them and deletes their files.
struct Fleet {
    dir: PathBuf,
    /// Node, role, cohort and HTTP address.
    nodes: Vec<(u16, &'static str, Addr, Addr)>,
    origin: Addr,
    procs: BTreeMap<u16, Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.procs.values_mut().for_each(|child| {
            let _ = child.kill();
            let _ = child.wait();
        });
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Free addresses; all stay bound until the last is known, so that they differ.
fn free_addrs(count: usize) -> Vec<Addr> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("loopback")).collect();
    listeners.iter().map(|listener| Addr(listener.local_addr().expect("bound"))).collect()
}

/// Polls until `condition` holds; panics after 90 s.
fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(90);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::park_timeout(Duration::from_millis(20));
    }
}

fn field(object: &JsonValue, name: &str) -> Option<JsonValue> {
    object.get::<HashMap<String, JsonValue>>().and_then(|fields| fields.get(name).cloned())
}

impl Fleet {
    fn create(dir: &Path) -> Fleet {
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
        let addrs = free_addrs(roles.len() * 2 + 1);
        let nodes: Vec<_> = roles
            .iter()
            .enumerate()
            .map(|(i, role)| (i as u16 + 1, *role, addrs[2 * i], addrs[2 * i + 1]))
            .collect();
        let seeds = |id: u16| {
            let others = nodes[..4].iter().filter(|n| n.0 != id).take(3);
            JsonValue::from(others.map(|n| text(n.2)).collect::<Vec<_>>())
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
        Fleet { dir: dir.into(), nodes, origin: addrs[roles.len() * 2], procs: BTreeMap::new() }
    }

    fn spawn(&mut self, id: u16, args: &[String]) {
        let log = std::fs::File::options().create(true).append(true).open(self.dir.join(format!("{id}.log")));
        let log = log.expect("a log");
        let child =
            Command::new(LANEWING).args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        self.procs.insert(id, child.expect("lanewing starts"));
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

    fn wait_ready(&mut self) {
        let agent = web::agent(Duration::from_secs(2));
        for (id, role, _, http) in self.nodes.clone() {
            wait(&format!("readiness of {role} {id}"), || {
                let ended = self.procs.get_mut(&id).map(|c| c.try_wait().expect("a child").is_some());
                assert_eq!(ended, Some(false), "{role} {id} ended by itself");
                web::get(&agent, http, "lanewing/ready").is_some_and(|(status, _)| status == 200)
            });
        }
    }

    fn controllers(&self) -> String {
        self.nodes[..4].iter().map(|n| n.3.to_string()).collect::<Vec<_>>().join(",")
    }

    fn operator_command(&self, args: &str) -> Output {
        let args = args.split_whitespace();
        Command::new(LANEWING)
            .args(args)
            .env("LANEWING_AT", self.controllers())
            .output()
            .expect("lanewing runs")
    }

    fn signal(&mut self, id: u16, signal: Signal) {
        kill(Pid::from_raw(self.procs[&id].id() as i32), signal).expect("a signal");
    }

    /// Waits until the process has ended. Returns its exit code, or `None` if a signal ended it.
    fn wait_ended(&mut self, id: u16) -> Option<i32> {
        let mut child = self.procs.remove(&id).expect("a process");
        let mut status = None;
        wait("a process's end", || {
            status = child.try_wait().expect("a child");
            status.is_some()
        });
        status.and_then(|status| status.code())
    }

    fn http(&self, id: u16) -> Addr {
        self.nodes[id as usize - 1].3
    }
}

/// Sends a keyed request. Returns the status, `Lanewing-From` and the body.
fn pay(at: Addr, key: &str) -> Option<(u16, String, Vec<u8>)> {
    let agent = web::agent(Duration::from_secs(60));
    let request = agent.post(format!("http://{at}/pay/sum")).header("Idempotency-Key", key);
    let mut response = request.header("Authorization", "Bearer me").send("5 euro").ok()?;
    let from =
        response.headers().get("lanewing-from").and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
    let body = response.body_mut().read_to_vec().ok()?;
    Some((response.status().as_u16(), from, body))
}

#[test]
fn given_a_new_fleet_when_all_nodes_are_killed_and_restarted_then_rows_and_outcomes_are_still_there() {
    let dir = std::env::temp_dir().join(format!("lanewing-story-{}", std::process::id()));
    let mut fleet = Fleet::create(&dir);
    fleet.start_all();
    fleet.wait_ready();
    let (origin, controllers) = (fleet.origin, fleet.controllers());
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
    fleet.spawn(100, &args.map(str::to_string));
    for (lane, kind) in [("offers", "read"), ("pay", "keyed")] {
        let set = fleet.operator_command(&format!(
            "set {lane} desk --expect 0 --weight 1 --ceiling 100 --rank 1 --kind {kind} --ttl-ms 5000"
        ));
        assert!(set.status.success(), "{}", String::from_utf8_lossy(&set.stderr));
    }
    let stale =
        fleet.operator_command("set pay desk --expect 0 --weight 1 --ceiling 100 --rank 1 --kind keyed");
    assert_eq!(stale.status.code(), Some(1));
    let (edge_a, edge_b) = (fleet.http(5), fleet.http(6));
    let agent = web::agent(Duration::from_secs(30));
    wait("a page", || {
        agent.get(format!("http://{edge_a}/offers/x?q=1")).call().is_ok_and(|r| r.status().as_u16() == 200)
    });
    let first = pay(edge_a, "k1").expect("an answer");
    assert_eq!((first.0, first.1.as_str()), (200, "origin"));
    let again = pay(edge_b, "k1").expect("an answer");
    assert_eq!((again.0, again.1.as_str(), &again.2), (200, "record", &first.2));
    // A slow request is in flight when its edge receives the signal to stop.
    let slow = web::post(&agent, origin, "lanewing/fault", &obj(vec![("slow_ms", num(3000))]));
    assert_eq!(slow.map(|s| s.0), Some(200));
    let caller = thread::spawn(move || pay(edge_a, "k2"));
    wait("an in-flight request", || {
        let health = web::get(&agent, edge_a, "lanewing/ready").map(|(_, body)| body);
        health
            .and_then(|health| field(&health, "in_hand"))
            .and_then(|n| n.get::<f64>().copied())
            .is_some_and(|n| n > 0.0)
    });
    fleet.signal(5, Signal::SIGTERM);
    let slow_answer = caller.join().expect("a caller").expect("its answer was cut off");
    assert_eq!((slow_answer.0, slow_answer.1.as_str()), (200, "origin"));
    assert_eq!(fleet.wait_ended(5), Some(0));
    // All nodes are killed at once and restart from their disks.
    let ids: Vec<u16> = fleet.procs.keys().copied().filter(|id| *id != 100).collect();
    ids.iter().for_each(|id| fleet.signal(*id, Signal::SIGKILL));
    ids.iter().for_each(|id| {
        fleet.wait_ended(*id);
    });
    fleet.start_all();
    fleet.wait_ready();
    let table = fleet.operator_command("table");
    let output = String::from_utf8_lossy(&table.stdout).to_string();
    assert!(table.status.success() && output.contains("offers") && output.contains("pay"), "{output}");
    let mut recorded = None;
    wait("the recorded outcome", || {
        recorded = pay(edge_a, "k1").filter(|answer| answer.0 == 200);
        recorded.is_some()
    });
    assert_eq!(recorded.map(|answer| (answer.1, answer.2)), Some(("record".into(), first.2)));
    let all: Vec<u16> = (1..=fleet.nodes.len() as u16).collect();
    all.iter().for_each(|id| fleet.signal(*id, Signal::SIGTERM));
    all.iter().for_each(|id| assert_eq!(fleet.wait_ended(*id), Some(0), "node {id}"));
}
