//! `dev_fleet scale_model`: one process after another, each holding a scale_model fleet of one size.
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use scale_model::{Plan, Row};
use snafu::{ResultExt, Snafu};
use std::fs::{read_to_string, write, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Command as Process, Stdio};

#[derive(Debug, Snafu)]
pub enum RunProblem {
    #[snafu(display("{source}"), context(false))]
    ScaleModel { source: scale_model::ScaleModelProblem },
    #[snafu(display("{what}: {source}"))]
    Io { what: String, source: std::io::Error },
    #[snafu(display("{nodes} nodes, seed {seed}: the run ended without its figures"))]
    Ended { nodes: usize, seed: u64 },
}

type Result<T> = std::result::Result<T, RunProblem>;

pub fn command() -> Command {
    let n = |name: &'static str, default: &'static str, help: &'static str| {
        let a = Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64));
        a.help(help)
    };
    let file = |name: &'static str, help: &'static str| {
        let a = Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf));
        a.help(help)
    };
    let list = |name: &'static str, default: &'static str, help: &'static str| {
        let a = Arg::new(name).long(name).value_delimiter(',').default_value(default);
        a.value_parser(value_parser!(usize)).help(help)
    };
    Command::new("scale_model")
        .about("Measure what control costs at growing sizes, in virtual time within one process a size")
        .arg(list("nodes", "50,200,800", "Edges and ledgers together, by size"))
        .arg(n("seconds", "5", "Virtual seconds of each stretch"))
        .arg(n("seed", "1", "The first run's seed"))
        .arg(n("runs", "1", "Runs of each size, one seed each"))
        .arg(n("whole", "65000", "Nodes that run their real part; the rest only follow"))
        .arg(n("purges", "36", "Purges a second in the stretch of purges"))
        .arg(n("changes", "4", "Changes a second in the stretch of changes"))
        .arg(file("json", "Adds the figures to it, a line each"))
        .arg(file("svg", "Plots all figures there are into it"))
        .arg(file("from", "Takes figures from earlier runs, beside or in place of new ones"))
        .arg(
            Arg::new("relays")
                .long("relays")
                .action(ArgAction::SetTrue)
                .help("Measure one level of relays instead: --nodes are the children of one relay"),
        )
        .arg(
            Arg::new("lookups")
                .long("lookups")
                .action(ArgAction::SetTrue)
                .help("Measure instead what naming an object's home costs an edge"),
        )
        .arg(Arg::new("one").long("one").hide(true).action(ArgAction::SetTrue))
}

fn plans(m: &ArgMatches) -> Vec<Plan> {
    let n = |name: &str| *m.get_one::<u64>(name).expect("has a default");
    let sizes: Vec<usize> = m.get_many("nodes").expect("has a default").copied().collect();
    let plan = |nodes: usize, run: u64| Plan {
        nodes,
        whole: (n("whole") as usize).min(nodes),
        seed: n("seed") + run,
        secs: n("seconds").max(1),
        purges: n("purges"),
        changes: n("changes"),
    };
    sizes.iter().flat_map(|s| (0..n("runs").max(1)).map(|r| plan(*s, r)).collect::<Vec<_>>()).collect()
}

/// Another process of this program, so that the memory of one size is not another's.
/// Each figure is told as it comes: a long run that is ended leaves what it had.
fn apart(p: &Plan, tell: &mut dyn FnMut(Row) -> Result<()>) -> Result<()> {
    let me = std::env::current_exe().context(IoSnafu { what: "this program" })?;
    let arg = |n: &str, v: u64| [format!("--{n}"), v.to_string()];
    let args = [
        arg("nodes", p.nodes as u64),
        arg("seconds", p.secs),
        arg("seed", p.seed),
        arg("whole", p.whole as u64),
        arg("purges", p.purges),
        arg("changes", p.changes),
    ];
    let mut c = Process::new(me);
    c.arg("scale_model").arg("--one").args(args.concat()).stdout(Stdio::piped());
    let mut child = c.spawn().context(IoSnafu { what: "a run" })?;
    let out = child.stdout.take().expect("piped");
    for line in BufReader::new(out).lines() {
        tell(Row::read(&line.context(IoSnafu { what: "a run's figures" })?)?)?;
    }
    let ended = child.wait().context(IoSnafu { what: "a run" })?;
    match ended.success() {
        true => Ok(()),
        false => EndedSnafu { nodes: p.nodes, seed: p.seed }.fail(),
    }
}

/// Adds a line to the file, if there is one.
fn add(path: Option<&PathBuf>, r: &Row) -> Result<()> {
    let Some(path) = path else { return Ok(()) };
    let what = || path.display().to_string();
    let mut f =
        OpenOptions::new().create(true).append(true).open(path).with_context(|_| IoSnafu { what: what() })?;
    writeln!(f, "{}", r.line()).with_context(|_| IoSnafu { what: what() })
}

fn read(path: &PathBuf) -> Result<Vec<Row>> {
    let s = read_to_string(path).with_context(|_| IoSnafu { what: path.display().to_string() })?;
    Ok(s.lines().map(Row::read).collect::<scale_model::Result<Vec<_>>>()?)
}

fn put(path: &PathBuf, s: String) -> Result<()> {
    write(path, s).with_context(|_| IoSnafu { what: path.display().to_string() })
}

pub fn run(m: &ArgMatches) -> Result<()> {
    let plans = plans(m);
    if m.get_flag("one") {
        return Ok(plans
            .iter()
            .try_for_each(|p| scale_model::run(p, &mut |r| println!("{}", r.line())).map(|_| ()))?);
    }
    let from = m.get_one::<PathBuf>("from");
    let given = m.value_source("nodes") != Some(clap::parser::ValueSource::DefaultValue);
    let plans = if from.is_some() && !given { vec![] } else { plans };
    // All are refused before the first one takes its time.
    plans.iter().try_for_each(|p| p.check(Plan::limit()))?;
    let mut rows = from.map(read).transpose()?.unwrap_or_default();
    for p in &plans {
        eprintln!("{} nodes, {} of them whole, seed {}", p.nodes, p.whole_edges() + p.ledgers(), p.seed);
        let mut tell = |r: Row| {
            add(m.get_one("json"), &r)?;
            rows.push(r);
            Ok(())
        };
        match (m.get_flag("relays"), m.get_flag("lookups")) {
            (true, _) => scale_model::measure(p)?.into_iter().try_for_each(&mut tell)?,
            (_, true) => tell(scale_model::lookups(p)?)?,
            _ => apart(p, &mut tell)?,
        };
    }
    println!("{}", scale_model::table(&rows));
    match m.get_one::<PathBuf>("svg") {
        Some(f) => put(f, scale_model::plot(&rows)?),
        None => Ok(()),
    }
}
