//! The platform: machines as processes, each at a loopback address of its own, started with the
//! command of the deploy file and settings like those of a small deployment.
use crate::record::Record;
use crate::words::w;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}
pub const KILL: i32 = 9;
/// A process gets a signal when the one that started it ends, however it ends.
const END_WITH_PARENT: i32 = 1;

/// Sends a signal to a process that was started here.
pub fn send(pid: u32, signal: i32) {
    // SAFETY: a plain system call; the process is a child that was not yet waited for.
    unsafe { kill(pid as i32, signal) };
}

const FRONT: u16 = 4;
const READY: u16 = 5;
const CONTROL: u16 = 6;
const ZONES: [&str; 4] = ["palermo-a", "catania-b", "messina-c", "siracusa-d"];

/// What may differ from the small deployment's settings.
#[derive(Clone, Debug)]
pub struct Plan {
    pub machines: usize,
    pub disks: usize,
    pub megabytes: usize,
    pub initial: bool,
    /// Of the machines, the last so many are not started at first, and have disks.
    pub spares: usize,
}

pub struct Fleet {
    pub plan: Plan,
    pub dir: PathBuf,
    pub record: Arc<Record>,
    /// The machines that settings name as seeds.
    pub seeds: Vec<usize>,
    command: Vec<String>,
    net: u8,
    port: u16,
    procs: Vec<Option<Child>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for c in self.procs.iter_mut().flatten() {
            let _ = c.kill();
            let _ = c.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// The command of the first role in the deploy file.
fn command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let line = text.lines().find_map(|l| l.strip_prefix("run = ")).expect("a command");
    line.trim_matches('"').split(' ').map(str::to_string).collect()
}

impl Fleet {
    pub fn new(plan: Plan, record: Arc<Record>) -> Fleet {
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-{id}"));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let (procs, seeds) = ((0..plan.machines).map(|_| None).collect(), (0..plan.disks.min(3)).collect());
        let mut f = Fleet { seeds, procs, plan, dir, record, command: command(), net: 0, port: 0 };
        let free = |f: &Fleet, p: u16| (0..f.plan.machines).all(|i| TcpListener::bind((f.ip(i), p)).is_ok());
        // The command names a port of its own, the same for all machines.
        let figures = f.command.last().and_then(|p| p.parse().ok()).unwrap_or(9464);
        f.net = (0..200)
            .map(|n| 20 + ((id + n * 7) % 200) as u8)
            .find(|n| {
                (0..f.plan.machines)
                    .all(|i| TcpListener::bind((format!("127.77.{n}.{}", i + 11), figures)).is_ok())
            })
            .expect("free addresses");
        let first = 15_000 + (id % 900) as u16 * 16;
        f.port =
            (first..first + 2000).step_by(8).find(|p| (*p..*p + 8).all(|p| free(&f, p))).expect("free ports");
        f
    }

    pub fn ip(&self, i: usize) -> String {
        format!("127.77.{}.{}", self.net, i + 11)
    }
    fn at(&self, i: usize, p: u16) -> SocketAddr {
        format!("{}:{}", self.ip(i), self.port + p).parse().expect("an address")
    }
    pub fn front(&self, i: usize) -> SocketAddr {
        self.at(i, FRONT)
    }
    pub fn ready(&self, i: usize) -> SocketAddr {
        self.at(i, READY)
    }
    pub fn control(&self, i: usize) -> SocketAddr {
        self.at(i, CONTROL)
    }
    pub fn zone(&self, i: usize) -> &'static str {
        ZONES[i % ZONES.len()]
    }
    pub fn data(&self, i: usize) -> PathBuf {
        self.dir.join(format!("data-{i}"))
    }

    pub fn counted(&self, i: usize) -> bool {
        i < self.plan.disks || i >= self.plan.machines - self.plan.spares
    }

    fn settings(&self, i: usize) -> String {
        let (ip, p, zone) = (self.ip(i), self.port, self.zone(i));
        let disk = self.counted(i);
        let seeds = self.seeds.iter().map(|s| format!("  - \"{}\"\n", self.control(*s))).collect::<String>();
        let zones = ZONES.map(|z| format!("  {z}: \"sicilia\"\n")).concat();
        let (mb, data) = match disk {
            true => (
                format!("  {}: {}\n", w("disk"), self.plan.megabytes),
                format!("{}: \"{}\"\n", w("data-d"), self.data(i).display()),
            ),
            false => (String::new(), String::new()),
        };
        let share = if disk { 0.35 } else { 0.2 };
        [
            format!("node: \"edge-{zone}-{i}\"\nrole: \"lanewing\"\nmachine-class: \"edge\"\n"),
            format!("{}:\n  - \"edge\"\n  - \"control\"\nip: \"{ip}\"\nzone: \"{zone}\"\n", w("served-r")),
            format!("region: \"sicilia\"\nzones:\n{zones}bindings:\n  front: \"{}\"\n", self.front(i)),
            format!("  readiness: \"{}\"\n  control: \"{}\"\n", self.ready(i), self.control(i)),
            format!("{}:\n  - {p}\n  - {}\n{}:\n{seeds}", w("internal"), p + 3, w("seed-n")),
            format!("{}: {}\n{}: {disk}\nlimits:\n", w("initial"), self.plan.initial, w("loss-c")),
            format!("  {}: {share}\n  {}: 1\n  {}: 260\n", w("cpu-s"), w("core-c"), w("memory")),
            format!("  descriptor-limit: 4100\n  {}: 1000.0\n{mb}{data}", w("link-m")),
            format!("{}: 1500\n{}:\n  {}: 1\n  zones: 0\n  region-losses: 0\n", w("beat-int"), w("fault-t"), w("machine-l")),
            format!("{}:\n  {}: 6\n  {}: 0.2\n  {}: 66\n  {}: 60\n", w("bound-s"), w("grace"), w("retry-r"), w("retry-a"), w("key-w")),
            "  config-apply-ms: 2000\n  purge-ms: 2000\n  contact-ms: 3000\n  ack-ms: 4000\nconfig-mode: \"parts\"\n".into(),
        ]
        .concat()
    }

    pub fn start(&mut self, i: usize) {
        let path = self.dir.join(format!("settings-{i}.yaml"));
        std::fs::write(&path, self.settings(i)).expect("written");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{i}.log")))
            .expect("a log");
        let name = w("lanewing-s").to_ascii_uppercase().replace('-', "_");
        let mut c = Command::new(&self.command[0]);
        c.args(&self.command[1..]).env(name, path).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        // SAFETY: one plain system call between fork and exec.
        unsafe {
            c.pre_exec(|| {
                prctl(END_WITH_PARENT, KILL as u64);
                Ok(())
            })
        };
        self.procs[i] = Some(c.spawn().expect("the product's program starts"));
        self.record.note(format!("platform: machine {i} started"));
    }

    pub fn start_all(&mut self) {
        (0..self.plan.machines - self.plan.spares).for_each(|i| self.start(i));
        self.plan.initial = false;
    }

    pub fn pid(&self, i: usize) -> Option<u32> {
        self.procs[i].as_ref().map(Child::id)
    }

    pub fn signal(&self, i: usize, s: i32) {
        if let Some(pid) = self.pid(i) {
            send(pid, s);
            self.record.note(format!("platform: signal {s} to machine {i}"));
        }
    }

    /// How it ended, if it has.
    pub fn ended(&mut self, i: usize) -> Option<String> {
        let status = self.procs[i].as_mut()?.try_wait().expect("a child")?;
        self.procs[i] = None;
        self.record.note(format!("platform: machine {i} ended: {status}"));
        Some(status.to_string())
    }

    pub fn wait_end(&mut self, i: usize, most: Duration) -> Option<String> {
        let until = std::time::Instant::now() + most;
        while std::time::Instant::now() < until {
            if let Some(s) = self.ended(i) {
                return Some(s);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    pub fn kill(&mut self, i: usize) {
        self.signal(i, KILL);
        self.wait_end(i, Duration::from_secs(5));
    }

    pub fn wipe(&self, i: usize) {
        let _ = std::fs::remove_dir_all(self.data(i));
        self.record.note(format!("platform: the disk of machine {i} is empty"));
    }
}
