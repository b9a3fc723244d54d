//! Runbooks at the command line.
use crate::args::{id, op};
use crate::kernel::{Plugin, PLUGINS};
use crate::ops::{change_id, controllers, OpsProblem};
use clap::{Arg, ArgAction, ArgMatches, Command};
use linkme::distributed_slice;
use primitives::{parse, Addr, Look};
use runbooks::{page, read_runbook, Environment, Runbook};
use stand_ins::web;
use std::collections::BTreeMap;
use std::io::{BufRead, IsTerminal};
use std::time::{Duration, Instant};
use tinyjson::JsonValue;

#[distributed_slice(PLUGINS)]
static BOOKS: Plugin = Plugin { place: 2, commands: || vec![command()], run: |_, m| Ok(run(m)?) };

fn command() -> Command {
    let run = op("run", "Execute a runbook").arg(id());
    let name = || Arg::new("name").required(true).help("A shipped book's name, or a file");
    let set = Arg::new("set").long("set").value_name("NAME=VALUE").action(ArgAction::Append);
    let yes = Arg::new("yes").long("yes").action(ArgAction::SetTrue);
    Command::new("runbook")
        .about("Show or execute a runbook")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("The shipped runbooks"))
        .subcommand(Command::new("show").about("A runbook as a page").arg(name()))
        .subcommand(
            run.arg(name())
                .arg(set.help("What the book must be told"))
                .arg(yes.help("Take all that is asked of people as done")),
        )
}

fn load(name: &str) -> Result<Runbook, OpsProblem> {
    let shipped = runbooks::SHIPPED.iter().find(|(n, _)| *n == name).map(|(_, s)| s.to_string());
    let file = |source| OpsProblem::File { path: name.to_string(), source };
    let s = shipped.map(Ok).unwrap_or_else(|| std::fs::read_to_string(name).map_err(file))?;
    Ok(read_runbook(&Look::at(&parse(&s)?, ""))?)
}

struct Real {
    at: Vec<Addr>,
    agent: ureq::Agent,
    yes: bool,
    began: Instant,
}

impl Environment for Real {
    fn say(&mut self, s: &str) {
        println!("{s}");
    }
    fn confirm(&mut self, _: &str) -> bool {
        if self.yes {
            return true;
        }
        let stdin = std::io::stdin();
        if stdin.is_terminal() {
            println!("    press Enter when done, or type anything else to stop");
        }
        let mut s = String::new();
        stdin.lock().read_line(&mut s).is_ok_and(|n| n > 0) && s.trim().is_empty()
    }
    fn post(&mut self, path: &str, v: &JsonValue) -> Option<(u16, JsonValue)> {
        let got: Vec<_> =
            self.at.iter().filter_map(|a| web::post(&self.agent, *a, path, v)).take(1).collect();
        got.into_iter().next()
    }
    fn get(&mut self, at: Addr, path: &str) -> Option<JsonValue> {
        web::get(&self.agent, at, path).map(|(_, v)| v)
    }
    fn pause(&mut self, began: u64, secs: u64) -> bool {
        std::thread::sleep(Duration::from_millis(200));
        self.clock() - began < secs * 1000
    }
    fn clock(&mut self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

fn run(m: &ArgMatches) -> Result<(), OpsProblem> {
    let (sub, m) = m.subcommand().expect("required");
    if sub == "list" {
        runbooks::SHIPPED.iter().for_each(|(n, _)| println!("{n}"));
        return Ok(());
    }
    let name = m.get_one::<String>("name").expect("required");
    let b = load(name)?;
    if sub == "show" {
        print!("{}", page(name, &b));
        return Ok(());
    }
    let mut told = BTreeMap::new();
    for s in m.get_many::<String>("set").into_iter().flatten() {
        let pair = s.split_once('=').ok_or(OpsProblem::NoPair { set: s.clone() })?;
        told.insert(pair.0.to_string(), pair.1.to_string());
    }
    let mut h = Real {
        at: controllers(m),
        agent: web::agent(Duration::from_secs(30)),
        yes: m.get_flag("yes"),
        began: Instant::now(),
    };
    Ok(runbooks::run(&b, &change_id(m), &told, &mut h)?)
}
