//! A whole fleet as processes of this machine: the nodes of a settings file and the stub
//! origins of its rehearsal part.
use crate::error::*;
use crate::process::Processes;
use control_state::Role;
use nix::sys::signal::Signal;
use primitives::{Addr, Look};
use runtime::settings::{role_name, Env, Place};
use snafu::{OptionExt, ResultExt};
use stand_ins::mix::{read_mix, Mix, OriginSettings};
use std::path::{Path, PathBuf};

/// Longest waits, in seconds.
const READY_S: u64 = 40;
const ORIGINS_S: u64 = 20;
const KILLED_S: u64 = 5;
const STOPPED_S: u64 = 20;
const ALL_STOPPED_S: u64 = 25;

/// A fleet. All of its processes are ended when it is dropped.
pub struct Fleet {
    /// The settings.
    pub env: Env,
    /// The rehearsal part of the settings.
    pub mix: Mix,
    settings_file: PathBuf,
    /// Folder of all data and logs.
    pub(crate) dir: PathBuf,
    processes: Processes,
}

/// The name of a node's process.
pub fn node_name(place: &Place) -> String {
    format!("{}-{}", role_name(place.role), place.node)
}

/// The name of a stub origin's process.
pub fn origin_name(at: Addr) -> String {
    format!("origin-{}", at.0.port())
}

impl Fleet {
    /// The fleet of a settings file, without any process yet. Creates the folder.
    pub fn new(settings_file: &Path, dir: &Path) -> Result<Fleet> {
        let env = Env::load(settings_file)?;
        let rehearsal = env.rehearsal.clone().context(NoMixSnafu)?;
        let mix = read_mix(&Look::at(&rehearsal, "rehearsal"))?;
        std::fs::create_dir_all(dir).context(OsSnafu { what: "the folder" })?;
        let processes = Processes::new()?;
        Ok(Fleet { env, mix, settings_file: settings_file.into(), dir: dir.into(), processes })
    }

    fn start(&mut self, name: String, args: &[&str]) -> Result<()> {
        let log = self.dir.join(format!("{name}.log"));
        let args = args.iter().map(|arg| arg.to_string()).collect();
        self.processes.start(name, args, &log)
    }

    fn data(&self) -> PathBuf {
        self.dir.join("data")
    }

    /// Starts one node.
    pub fn start_node(&mut self, place: &Place) -> Result<()> {
        let settings_file = self.settings_file.display().to_string();
        let (node, data) = (place.node.to_string(), self.data().display().to_string());
        let role = role_name(place.role);
        let args = [role, "--env", &settings_file, "--node", &node, "--data", &data, "--simulate-distance"];
        self.start(node_name(place), &args)
    }

    /// Starts the stub origin of an address.
    pub fn start_origin(&mut self, at: Addr) -> Result<()> {
        let svc = self.origin(at)?.svc;
        self.start_origin_as(at, &svc)
    }

    fn origin(&self, at: Addr) -> Result<OriginSettings> {
        let origin = self.mix.origins.iter().find(|origin| origin.at == at).cloned();
        origin.with_context(|| NoProcessSnafu { name: at.to_string() })
    }

    /// Starts a stub origin at an address, also of another service than the settings say.
    pub fn start_origin_as(&mut self, at: Addr, svc: &str) -> Result<()> {
        let origin = self.origin(at)?;
        let controllers = self.nodes(Role::Controller);
        let controllers: Vec<String> = controllers.iter().map(|place| place.http.to_string()).collect();
        let args = [
            "stub-origin",
            "--at",
            &at.to_string(),
            "--service",
            svc,
            "--zone",
            &origin.zone,
            "--controllers",
            &controllers.join(","),
            "--cap",
            &origin.cap.to_string(),
            "--work-ms",
            &origin.work.as_millis().to_string(),
        ];
        self.start(origin_name(at), &args)
    }

    /// The nodes of a role, as the settings order them.
    pub fn nodes(&self, role: Role) -> Vec<Place> {
        self.env.nodes.iter().filter(|place| place.role == role).cloned().collect()
    }

    /// Starts all nodes.
    pub fn start_nodes(&mut self) -> Result<()> {
        self.env.nodes.clone().iter().try_for_each(|place| self.start_node(place))
    }

    /// Starts nodes and origins and loads the table; the fleet serves when it returns.
    pub fn start_all(&mut self) -> Result<()> {
        self.start_nodes()?;
        let origins = self.mix.origins.clone();
        origins.iter().try_for_each(|origin| self.start_origin(origin.at))?;
        self.wait_ready(READY_S)?;
        self.check_all_alive()?;
        self.load_table()?;
        self.wait_origins(ORIGINS_S)
    }

    /// Requires that every process that was started and not ended still runs.
    pub fn check_all_alive(&mut self) -> Result<()> {
        self.processes.check_all_alive()
    }

    /// Signals a process that must be running.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<()> {
        self.processes.signal(name, signal)
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.processes.kill(name)
    }

    /// Waits for the end of a process that was killed.
    pub fn wait_killed(&mut self, name: &str) -> Result<()> {
        self.processes.wait_for_end(name, KILLED_S)
    }

    /// Asks a process to leave, and waits until it has.
    pub fn stop(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGTERM)?;
        self.processes.wait_for_end(name, STOPPED_S)
    }

    /// Empties the disk of a node that is not running.
    pub fn wipe(&self, place: &Place) -> Result<()> {
        let dir = self.data().join(format!("node-{}", place.node));
        std::fs::remove_dir_all(&dir).context(OsSnafu { what: dir.display().to_string() })
    }

    /// Empties the disks of all nodes.
    pub fn wipe_all(&self) -> Result<()> {
        let dir = self.data();
        let removed = if dir.exists() { std::fs::remove_dir_all(&dir) } else { Ok(()) };
        removed.context(OsSnafu { what: dir.display().to_string() })
    }

    /// Asks all processes to leave at once, and waits until they have.
    pub fn stop_all(&mut self) -> Result<()> {
        let names = self.names();
        for name in &names {
            // One that has ended already needs no signal.
            let _ = self.signal(name, Signal::SIGTERM);
        }
        names.iter().try_for_each(|name| self.processes.wait_for_end(name, ALL_STOPPED_S))
    }

    /// The names of all processes.
    pub fn names(&self) -> Vec<String> {
        self.processes.names()
    }
}
