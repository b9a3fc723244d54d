//! Plug-in with the `runbook` subcommand.
use crate::args::{flag, id, operator_command};
use crate::kernel::{Plugin, PLUGINS};
use crate::operator::{change_id, controllers, read_file, NoPairSnafu, OperatorError};
use clap::{Arg, ArgAction, ArgMatches, Command};
use linkme::distributed_slice;
use primitives::{parse, Addr, Look};
use runbooks::{page, read_runbook, Environment, Runbook, SHIPPED};
use snafu::OptionExt;
use stand_ins::web;
use std::collections::BTreeMap;
use std::io::{BufRead, IsTerminal};
use std::time::{Duration, Instant};
use tinyjson::JsonValue;

/// Longer than a controller waits for a change to take effect, so that its answer arrives.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

type Result<T> = std::result::Result<T, OperatorError>;

#[distributed_slice(PLUGINS)]
static RUNBOOK: Plugin =
    Plugin { place: 2, commands: || vec![command()], run: |_, matches| Ok(run(matches)?) };

fn command() -> Command {
    let name = || Arg::new("name").required(true).help("Name of a shipped runbook, or a file");
    let set = Arg::new("set").long("set").value_name("NAME=VALUE").action(ArgAction::Append);
    let run = operator_command("run", "Execute a runbook")
        .arg(id())
        .arg(name())
        .arg(set.help("A value that the runbook needs"))
        .arg(flag("yes", "Confirm all steps without asking"));
    Command::new("runbook")
        .about("Show or execute a runbook")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List the shipped runbooks"))
        .subcommand(Command::new("show").about("Show a runbook as a Markdown page").arg(name()))
        .subcommand(run)
}

/// Reads a shipped runbook or, if none has this name, a file.
fn load(name: &str) -> Result<Runbook> {
    let shipped = SHIPPED.iter().find(|(shipped, _)| *shipped == name);
    let json = match shipped {
        Some((_, json)) => json.to_string(),
        None => read_file(name)?,
    };
    Ok(read_runbook(&Look::at(&parse(&json)?, ""))?)
}

/// Runs a runbook at a terminal, against real controllers.
struct Terminal {
    controllers: Vec<Addr>,
    agent: ureq::Agent,
    /// Confirms every step without asking.
    yes: bool,
    began: Instant,
}

impl Environment for Terminal {
    fn say(&mut self, line: &str) {
        println!("{line}");
    }

    fn confirm(&mut self, _: &str) -> bool {
        if self.yes {
            return true;
        }
        let stdin = std::io::stdin();
        if stdin.is_terminal() {
            println!("    press Enter when done, or type anything else to stop");
        }
        let mut line = String::new();
        let read = stdin.lock().read_line(&mut line);
        read.is_ok_and(|bytes| bytes > 0) && line.trim().is_empty()
    }

    fn post(&mut self, path: &str, body: &JsonValue) -> Option<(u16, JsonValue)> {
        self.controllers.iter().find_map(|at| web::post(&self.agent, *at, path, body))
    }

    fn get(&mut self, at: Addr, path: &str) -> Option<JsonValue> {
        web::get(&self.agent, at, path).map(|(_, answer)| answer)
    }

    fn pause(&mut self, began: u64, secs: u64) -> bool {
        std::thread::sleep(POLL_INTERVAL);
        self.clock() - began < secs * 1000
    }

    fn clock(&mut self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

fn run(matches: &ArgMatches) -> Result<()> {
    let (command, matches) = matches.subcommand().expect("required");
    if command == "list" {
        SHIPPED.iter().for_each(|(name, _)| println!("{name}"));
        return Ok(());
    }
    let name = matches.get_one::<String>("name").expect("required");
    let runbook = load(name)?;
    if command == "show" {
        print!("{}", page(name, &runbook));
        return Ok(());
    }
    let mut terminal = Terminal {
        controllers: controllers(matches),
        agent: web::agent(CALL_TIMEOUT),
        yes: matches.get_flag("yes"),
        began: Instant::now(),
    };
    Ok(runbooks::run(&runbook, &change_id(matches), &values(matches)?, &mut terminal)?)
}

/// The values given with `--set NAME=VALUE`.
fn values(matches: &ArgMatches) -> Result<BTreeMap<String, String>> {
    let pair = |set: &String| {
        let (name, value) = set.split_once('=').context(NoPairSnafu { set })?;
        Ok((name.to_string(), value.to_string()))
    };
    matches.get_many("set").into_iter().flatten().map(pair).collect()
}
