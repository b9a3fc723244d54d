//! Machines of a small deployment: one process each, started with the command of the deploy file on a
//! loopback address of its own.
use crate::record::Record;
use crate::words::Words;
use crate::{http, web};
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["palermo-a", "catania-b", "messina-c", "siracusa-d"];
/// Ports of a machine: three for its parts, then the callers', the readiness and the control port.
const PORTS: u16 = 6;
const START_LIMIT: Duration = Duration::from_secs(30);

/// The machines; dropping them ends their processes and removes their files.
pub struct Fleet {
    root: PathBuf,
    dir: PathBuf,
    block: u8,
    port: u16,
    pub size: usize,
    disks: Range<usize>,
    command: Vec<String>,
    processes: Vec<Option<Child>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// The command of the deploy file's first role.
fn deployed_command(root: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
    let run = text.lines().find_map(|l| l.strip_prefix("run = ")).expect("a command to run");
    run.trim().trim_matches('"').split(' ').map(str::to_string).collect()
}

impl Fleet {
    /// Machines, those of the numbers in `disks` with a disk. Nothing is started yet.
    pub fn new(root: &Path, words: &Words, size: usize, disks: Range<usize>) -> Fleet {
        let dir = std::env::temp_dir().join(format!("stand-ins-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let block = (std::process::id() % 200 + 20) as u8;
        let command = deployed_command(root);
        let processes = (0..size).map(|_| None).collect();
        let mut fleet = Fleet { root: root.into(), dir, block, port: 0, size, disks, command, processes };
        fleet.port = fleet.free_ports();
        (0..size).for_each(|i| fleet.write_settings(words, i, true));
        fleet
    }

    fn ip(&self, i: usize) -> String {
        format!("127.{}.7.{}", self.block, i + 1)
    }

    fn free_ports(&self) -> u16 {
        let free = |p: &u16| {
            let all = (0..self.size).flat_map(|i| (*p..*p + PORTS).map(move |port| (self.ip(i), port)));
            all.map(|(ip, port)| TcpListener::bind((ip, port))).collect::<Result<Vec<_>, _>>().is_ok()
        };
        (21_000..29_000).step_by(8).find(free).expect("free ports")
    }

    fn at(&self, i: usize, offset: u16) -> SocketAddr {
        format!("{}:{}", self.ip(i), self.port + offset).parse().expect("an address")
    }
    pub fn front(&self, i: usize) -> SocketAddr {
        self.at(i, 3)
    }
    pub fn control(&self, i: usize) -> SocketAddr {
        self.at(i, 5)
    }
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.size).map(|i| self.control(i)).collect()
    }

    /// Settings with the figures of the small site: 64 MB of disk, a beat each 1.5 s, keys for a minute.
    pub fn write_settings(&self, words: &Words, i: usize, initial: bool) {
        let s = |index: usize| words.setting(index);
        let disk = self.disks.contains(&i);
        let seeds: Vec<String> = (0..3).map(|n| format!("\"{}\"", self.control(n))).collect();
        let data = self.dir.join(format!("data-{i}"));
        if disk {
            std::fs::create_dir_all(&data).expect("a data folder");
        }
        let mut text = format!("ip: \"{}\"\nzone: \"{}\"\nregion: \"sicilia\"\n", self.ip(i), self.zone(i));
        text += &format!("zones: {{{}}}\n", ZONES.map(|z| format!("{z}: \"sicilia\"")).join(", "));
        text += &format!("{}: [\"edge\", \"control\"]\n", s(1));
        let (front, ready, control) = (self.front(i), self.at(i, 4), self.control(i));
        let bindings = format!("front: \"{front}\", readiness: \"{ready}\", control: \"{control}\"");
        text += &format!("bindings: {{{bindings}}}\n{}: [{}, {}]\n", s(3), self.port, self.port + 2);
        text += &format!("{}: [{}]\n{}: {initial}\n{}: {disk}\n", s(2), seeds.join(", "), s(4), s(5));
        let disk_mb = if disk { format!(", {}: 64", s(8)) } else { String::new() };
        text += &format!("limits: {{{}: 260{disk_mb}, {}: 0.35}}\n", s(7), s(18));
        if disk {
            text += &format!("{}: \"{}\"\n", s(6), data.display());
        }
        text += &format!("{}: 1500\n{}: {{{}: 1}}\n", s(12), s(10), s(11));
        text += &format!("{}: {{{}: 6, {}: 0.2, {}: 66, {}: 60}}\n", s(9), s(16), s(14), s(15), s(13));
        std::fs::write(self.settings_file(i), text).expect("the settings are written");
    }

    pub fn zone(&self, i: usize) -> &'static str {
        ZONES[i % ZONES.len()]
    }

    fn settings_file(&self, i: usize) -> PathBuf {
        self.dir.join(format!("settings-{i}.yaml"))
    }

    pub fn start(&mut self, words: &Words, i: usize) {
        let mut command = Command::new(self.root.join(&self.command[0]));
        command.args(&self.command[1..]).current_dir(&self.root);
        // Each machine has its own address, so the metrics port is free on it.
        command.env(words.settings_variable(), self.settings_file(i)).stdin(Stdio::null());
        let log = std::fs::File::create(self.dir.join(format!("{i}.log"))).expect("a log file");
        self.processes[i] =
            Some(command.stdout(Stdio::null()).stderr(log).spawn().expect("the program starts"));
    }

    /// Sends a signal to a machine's process.
    pub fn signal(&self, i: usize, signal: &str) {
        let Some(child) = &self.processes[i] else { return };
        let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {}", child.id())]).status();
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.processes[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self, words: &Words, i: usize) -> bool {
        let host = [("Host", self.ip(i))];
        let get = http::request("GET", &format!("/{}", words.readiness_path()), &host, b"");
        http::call(self.at(i, 4), &get, Duration::from_secs(1)).is_some_and(|a| a.status() == 200)
    }

    /// Starts all machines, sends the first configuration and waits until every machine is ready.
    pub fn form(&mut self, words: &Words, configuration: &str, record: &Record) -> bool {
        (0..self.size).for_each(|i| self.start(words, i));
        let limit = Instant::now() + START_LIMIT;
        let mut acknowledged = false;
        while Instant::now() < limit {
            acknowledged = acknowledged || web::modify(words, self.control(0), configuration) == Some(200);
            if acknowledged && (0..self.size).all(|i| self.is_ready(words, i)) {
                record.note("all machines are ready");
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        record.note("the machines did not become ready in time");
        false
    }
}
