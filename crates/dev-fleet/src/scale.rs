//! `dev-fleet scale-model`: runs the scale model at several sizes, each size in a process of
//! its own, and shows how the costs grow.
use clap::parser::ValueSource;
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use scale_model::{Plan, Row};
use snafu::{ResultExt, Snafu};
use std::fs::{read_to_string, write, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Command as Process, Stdio};

/// The name of the subcommand.
pub const COMMAND: &str = "scale-model";

/// Why the scale model was not run.
#[derive(Debug, Snafu)]
pub enum ScaleError {
    /// The scale model refused or failed.
    #[snafu(display("{source}"), context(false))]
    ScaleModel { source: scale_model::ScaleModelError },
    /// A file or a process could not be read or written.
    #[snafu(display("{what}: {source}"))]
    Io { what: String, source: std::io::Error },
    /// The process of one size failed.
    #[snafu(display("{nodes} nodes, seed {seed}: the run ended without its figures"))]
    Ended { nodes: usize, seed: u64 },
}

type Result<T> = std::result::Result<T, ScaleError>;

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64));
    arg.help(help)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf));
    arg.help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

/// The subcommand.
pub fn command() -> Command {
    let nodes = Arg::new("nodes").long("nodes").value_delimiter(',').default_value("50,200,800");
    Command::new(COMMAND)
        .about("Measure what control costs at growing sizes, in virtual time within one process a size")
        .arg(nodes.value_parser(value_parser!(usize)).help("Edges and ledgers together, by size"))
        .arg(number("seconds", "5", "Virtual seconds of each phase"))
        .arg(number("seed", "1", "The first run's seed"))
        .arg(number("runs", "1", "Runs of each size, one seed each"))
        .arg(number("whole", "65000", "Nodes that run their real part; the rest only follow"))
        .arg(number("purges", "36", "Purges a second in the phase of purges"))
        .arg(number("changes", "4", "Changes a second in the phase of changes"))
        .arg(file("json", "Adds the figures to it, a line each"))
        .arg(file("svg", "Plots all figures there are into it"))
        .arg(file("from", "Takes figures from earlier runs, beside or in place of new ones"))
        .arg(flag("relays", "Measure one level of relays instead: --nodes are the children of one relay"))
        .arg(flag("lookups", "Measure instead what naming an object's home costs an edge"))
        .arg(flag("one", "Run here, and print a line of JSON for each figure").hide(true))
}

fn plans(matches: &ArgMatches) -> Vec<Plan> {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let sizes = matches.get_many::<usize>("nodes").expect("has a default");
    let plan = |nodes: usize, run: u64| Plan {
        nodes,
        whole: (number("whole") as usize).min(nodes),
        seed: number("seed") + run,
        secs: number("seconds").max(1),
        purges: number("purges"),
        changes: number("changes"),
    };
    let runs = number("runs").max(1);
    sizes.flat_map(|nodes| (0..runs).map(move |run| (*nodes, run))).map(|(n, run)| plan(n, run)).collect()
}

/// The command that runs one plan in another process of this program.
fn process(plan: &Plan) -> Result<Process> {
    let program = std::env::current_exe().context(IoSnafu { what: "this program" })?;
    let mut process = Process::new(program);
    process.arg(COMMAND).arg("--one").stdout(Stdio::piped());
    let args = [
        ("--nodes", plan.nodes as u64),
        ("--seconds", plan.secs),
        ("--seed", plan.seed),
        ("--whole", plan.whole as u64),
        ("--purges", plan.purges),
        ("--changes", plan.changes),
    ];
    args.iter().for_each(|(name, value)| {
        process.arg(name).arg(value.to_string());
    });
    Ok(process)
}

/// Runs a plan in another process, so that the memory of one size is not another's. Each
/// figure is passed on as it comes: a long run that is ended leaves what it had.
fn run_apart(plan: &Plan, tell: &mut dyn FnMut(Row) -> Result<()>) -> Result<()> {
    let mut child = process(plan)?.spawn().context(IoSnafu { what: "a run" })?;
    let output = child.stdout.take().expect("piped");
    for line in BufReader::new(output).lines() {
        tell(Row::read(&line.context(IoSnafu { what: "a run's figures" })?)?)?;
    }
    let status = child.wait().context(IoSnafu { what: "a run" })?;
    match status.success() {
        true => Ok(()),
        false => EndedSnafu { nodes: plan.nodes, seed: plan.seed }.fail(),
    }
}

fn name(path: &Path) -> IoSnafu<String> {
    IoSnafu { what: path.display().to_string() }
}

fn append(path: &Path, row: &Row) -> Result<()> {
    let file = OpenOptions::new().create(true).append(true).open(path);
    let mut file = file.with_context(|_| name(path))?;
    writeln!(file, "{}", row.line()).with_context(|_| name(path))
}

fn read(path: &Path) -> Result<Vec<Row>> {
    let text = read_to_string(path).with_context(|_| name(path))?;
    Ok(text.lines().map(Row::read).collect::<scale_model::Result<Vec<_>>>()?)
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let plans = plans(matches);
    if matches.get_flag("one") {
        let mut print = |row: &Row| println!("{}", row.line());
        plans.iter().try_for_each(|plan| scale_model::run(plan, &mut print).map(|_| ()))?;
        return Ok(());
    }
    let path = |arg: &str| matches.get_one::<PathBuf>(arg);
    let sizes_given = matches.value_source("nodes") != Some(ValueSource::DefaultValue);
    let plans = if path("from").is_some() && !sizes_given { vec![] } else { plans };
    // All are refused before the first one takes its time.
    plans.iter().try_for_each(|plan| plan.check(Plan::limit()))?;
    let mut rows = path("from").map(|path| read(path)).transpose()?.unwrap_or_default();
    let mut tell = |row: Row| {
        path("json").map_or(Ok(()), |path| append(path, &row))?;
        rows.push(row);
        Ok(())
    };
    plans.iter().try_for_each(|plan| measure(plan, matches, &mut tell))?;
    println!("{}", scale_model::table(&rows));
    match path("svg") {
        Some(path) => write(path, scale_model::plot(&rows)?).with_context(|_| name(path)),
        None => Ok(()),
    }
}

fn measure(plan: &Plan, matches: &ArgMatches, tell: &mut dyn FnMut(Row) -> Result<()>) -> Result<()> {
    let whole = plan.whole_edges() + plan.ledgers();
    eprintln!("{} nodes, {whole} of them whole, seed {}", plan.nodes, plan.seed);
    if matches.get_flag("relays") {
        return scale_model::relays(plan)?.into_iter().try_for_each(tell);
    }
    if matches.get_flag("lookups") {
        return tell(scale_model::lookups(plan)?);
    }
    run_apart(plan, tell)
}
