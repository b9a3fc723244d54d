//! A whole fleet as processes of this machine. The one place of the project
//! where a process starts another, and only for development.
pub(crate) use crate::error::*;
use control_state::Role;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use primitives::{Addr, Look};
use runtime::env::{role_name, Env, Place};
use snafu::{ensure, OptionExt, ResultExt};
use stand_ins::mix::{read_mix, Mix};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

pub type Result<T> = std::result::Result<T, FleetProblem>;

/// Every process started by this one, ended or not.
static STARTED: Mutex<Vec<u32>> = Mutex::new(vec![]);

/// Invariant: every process it started is ended when it is dropped.
pub struct Fleet {
    pub env: Env,
    pub mix: Mix,
    file: PathBuf,
    pub(crate) dir: PathBuf,
    lanewing: PathBuf,
    procs: BTreeMap<String, Child>,
}

/// Ends whatever was started; for when this process itself is told to end.
pub fn end_started() {
    for id in STARTED.lock().expect("sound").iter() {
        let _ = kill(Pid::from_raw(*id as i32), Signal::SIGKILL);
    }
}

pub fn node_name(p: &Place) -> String {
    format!("{}-{}", role_name(p.role), p.node)
}

impl Fleet {
    pub fn new(file: &Path, dir: &Path) -> Result<Fleet> {
        let env = Env::load(file)?;
        let r = env.rehearsal.clone().context(NoMixSnafu)?;
        let mix = read_mix(&Look::at(&r, "rehearsal"))?;
        std::fs::create_dir_all(dir).context(OsSnafu { what: "the folder" })?;
        let lanewing =
            std::env::current_exe().context(OsSnafu { what: "own path" })?.with_file_name("lanewing");
        Ok(Fleet { env, mix, file: file.into(), dir: dir.into(), lanewing, procs: BTreeMap::new() })
    }

    fn spawn(&mut self, name: String, args: Vec<String>) -> Result<()> {
        let what = || OsSnafu { what: name.clone() };
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))
            .with_context(|_| what())?;
        let c = Command::new(&self.lanewing)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().with_context(|_| what())?)
            .stderr(log)
            .spawn()
            .with_context(|_| what())?;
        STARTED.lock().expect("sound").push(c.id());
        self.procs.insert(name, c);
        Ok(())
    }

    pub fn start_node(&mut self, p: &Place) -> Result<()> {
        let args = [
            role_name(p.role),
            "--env",
            &self.file.display().to_string(),
            "--node",
            &p.node.to_string(),
            "--data",
            &self.dir.join("data").display().to_string(),
            "--simulate-distance",
        ];
        self.spawn(node_name(p), args.map(str::to_string).to_vec())
    }

    pub fn start_origin(&mut self, at: Addr) -> Result<()> {
        let o = self.mix.origins.iter().find(|o| o.at == at).cloned();
        let o = o.with_context(|| NoProcessSnafu { name: at.to_string() })?;
        self.start_origin_as(at, &o.svc)
    }

    /// Also under an address that another service had before.
    pub fn start_origin_as(&mut self, at: Addr, svc: &str) -> Result<()> {
        let o = self.mix.origins.iter().find(|o| o.at == at).cloned();
        let o = o.with_context(|| NoProcessSnafu { name: at.to_string() })?;
        let controllers: Vec<String> =
            self.nodes(Role::Controller).iter().map(|p| p.http.to_string()).collect();
        let args = [
            "stub_origin",
            "--at",
            &at.to_string(),
            "--service",
            svc,
            "--zone",
            &o.zone,
            "--controllers",
            &controllers.join(","),
            "--cap",
            &o.cap.to_string(),
            "--work-ms",
            &o.work.as_millis().to_string(),
        ];
        self.spawn(origin_name(at), args.map(str::to_string).to_vec())
    }

    pub fn nodes(&self, r: Role) -> Vec<Place> {
        self.env.nodes.iter().filter(|p| p.role == r).cloned().collect()
    }

    pub fn start_all(&mut self) -> Result<()> {
        for p in self.env.nodes.clone() {
            self.start_node(&p)?;
        }
        Ok(())
    }

    /// Everything: nodes, origins, the table; ready to serve when it returns.
    pub fn start_whole(&mut self) -> Result<()> {
        self.start_all()?;
        for o in self.mix.origins.clone() {
            self.start_origin(o.at)?;
        }
        self.wait_ready(40)?;
        self.all_alive()?;
        self.load_table()?;
        self.wait_origins(20)
    }

    /// Every process that should run does, and is ours: one that could not even
    /// listen must not be taken for one that was killed.
    pub fn all_alive(&mut self) -> Result<()> {
        let names = self.names();
        names.iter().try_for_each(|n| self.alive(n))
    }

    fn alive(&mut self, name: &str) -> Result<()> {
        let c = self.procs.get_mut(name).with_context(|| NoProcessSnafu { name })?;
        let ended = c.try_wait().context(OsSnafu { what: name })?;
        ensure!(ended.is_none(), NoFailureSnafu { why: format!("{name} had ended by itself; see its log") });
        Ok(())
    }

    pub fn signal(&mut self, name: &str, s: Signal) -> Result<()> {
        self.alive(name)?;
        let c = self.procs.get(name).with_context(|| NoProcessSnafu { name })?;
        kill(Pid::from_raw(c.id() as i32), s).context(SignalSnafu { name })
    }

    pub fn kill9(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGKILL)?;
        if let Some(mut c) = self.procs.remove(name) {
            c.wait().context(OsSnafu { what: name })?;
        }
        Ok(())
    }

    /// Waits for the end of one that was killed.
    pub fn reaped(&mut self, name: &str) -> Result<()> {
        self.reap(name, 5)
    }

    /// Asks it to leave and waits until it did.
    pub fn stop(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGTERM)?;
        self.reap(name, 20)
    }

    fn reap(&mut self, name: &str, secs: u64) -> Result<()> {
        let mut c = self.procs.remove(name).with_context(|| NoProcessSnafu { name })?;
        let until = Instant::now() + Duration::from_secs(secs);
        while Instant::now() < until {
            if c.try_wait().context(OsSnafu { what: name })?.is_some() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.procs.insert(name.into(), c);
        WaitedSnafu { what: format!("the end of {name}"), secs }.fail()
    }

    pub fn wipe(&self, p: &Place) -> Result<()> {
        let dir = self.dir.join("data").join(format!("node-{}", p.node));
        std::fs::remove_dir_all(&dir).context(OsSnafu { what: dir.display().to_string() })
    }

    /// Ends every process: politely first, all at once.
    pub fn stop_all(&mut self) -> Result<()> {
        let names = self.names();
        // One that has ended already needs no telling.
        for name in &names {
            let _ = self.signal(name, Signal::SIGTERM);
        }
        names.iter().try_for_each(|n| self.reap(n, 25))
    }

    pub fn names(&self) -> Vec<String> {
        self.procs.keys().cloned().collect()
    }
}

pub fn origin_name(at: Addr) -> String {
    format!("origin-{}", at.0.port())
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for c in self.procs.values_mut() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }
}
