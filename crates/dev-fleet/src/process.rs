//! The processes of a fleet: starting, signalling and ending them. The one place of the
//! project where a process starts another, and only for development.
use crate::error::*;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use snafu::{ensure, OptionExt, ResultExt};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Ids of all processes started by this one, ended or not.
static STARTED: Mutex<Vec<u32>> = Mutex::new(vec![]);

/// Kills every process that was started; for when this process itself is told to end.
pub fn kill_started() {
    for id in STARTED.lock().expect("not poisoned").iter() {
        let _ = kill(Pid::from_raw(*id as i32), Signal::SIGKILL);
    }
}

/// Running processes of the `lanewing` program, by name.
/// Invariant: all of them are ended when it is dropped.
pub struct Processes {
    program: PathBuf,
    running: BTreeMap<String, Child>,
}

impl Processes {
    /// None yet. The program is the one beside this program.
    pub fn new() -> Result<Processes> {
        let own_path = std::env::current_exe().context(OsSnafu { what: "own path" })?;
        Ok(Processes { program: own_path.with_file_name("lanewing"), running: BTreeMap::new() })
    }

    /// Starts a process; its output is appended to the log file.
    pub fn start(&mut self, name: String, args: Vec<String>, log: &Path) -> Result<()> {
        let what = || OsSnafu { what: name.clone() };
        let log = File::options().create(true).append(true).open(log).with_context(|_| what())?;
        let child = Command::new(&self.program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().with_context(|_| what())?)
            .stderr(log)
            .spawn()
            .with_context(|_| what())?;
        STARTED.lock().expect("not poisoned").push(child.id());
        self.running.insert(name, child);
        Ok(())
    }

    /// The names of all processes, in order.
    pub fn names(&self) -> Vec<String> {
        self.running.keys().cloned().collect()
    }

    /// Requires that every process still runs: one that could not even listen must not be
    /// taken for one that was killed.
    pub fn check_all_alive(&mut self) -> Result<()> {
        self.names().iter().try_for_each(|name| self.check_alive(name))
    }

    fn check_alive(&mut self, name: &str) -> Result<()> {
        let child = self.running.get_mut(name).with_context(|| NoProcessSnafu { name })?;
        let ended = child.try_wait().context(OsSnafu { what: name })?;
        ensure!(ended.is_none(), NoFailureSnafu { why: format!("{name} had ended by itself; see its log") });
        Ok(())
    }

    /// Signals a process that must be running.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<()> {
        self.check_alive(name)?;
        let child = self.running.get(name).with_context(|| NoProcessSnafu { name })?;
        kill(Pid::from_raw(child.id() as i32), signal).context(SignalSnafu { name })
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGKILL)?;
        if let Some(mut child) = self.running.remove(name) {
            child.wait().context(OsSnafu { what: name })?;
        }
        Ok(())
    }

    /// Waits for the end of a process that was signalled, at most so many seconds.
    pub fn wait_for_end(&mut self, name: &str, secs: u64) -> Result<()> {
        let mut child = self.running.remove(name).with_context(|| NoProcessSnafu { name })?;
        let until = Instant::now() + Duration::from_secs(secs);
        while Instant::now() < until {
            if child.try_wait().context(OsSnafu { what: name })?.is_some() {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.running.insert(name.into(), child);
        TimedOutSnafu { what: format!("the end of {name}"), secs }.fail()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
