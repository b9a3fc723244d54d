//! The stand-ins as subcommands, for rehearsals.
use crate::args::env_arg;
use crate::kernel::{Plugin, PLUGINS};
use clap::{value_parser, Arg, ArgMatches, Command};
use control_state::Role;
use linkme::distributed_slice;
use primitives::{Addr, Look, LookProblem};
use runtime::env::{Env, EnvProblem};
use snafu::Snafu;
use stand_ins::{audit, load_client, mix, stub_origin};
use std::path::PathBuf;
use std::time::Duration;

#[derive(Debug, Snafu)]
pub enum PlayProblem {
    #[snafu(display("{source}"), context(false))]
    Env { source: EnvProblem },
    #[snafu(display("{source}"), context(false))]
    Mix { source: LookProblem },
    #[snafu(display("the settings file has no rehearsal part"))]
    NoMix,
    #[snafu(display("cannot listen on {addr}"))]
    Listen { addr: Addr },
    #[snafu(display("{count} violations"))]
    Violations { count: usize },
}

#[distributed_slice(PLUGINS)]
static STAND_INS: Plugin = Plugin {
    place: 3,
    commands: || vec![stub_origin_command(), load_client_command(env_arg())],
    run: |name, m| Ok(if name == "stub-origin" { stub_origin(m) } else { load_client(m) }?),
};

fn need(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).required(true).help(help)
}

fn count(name: &'static str, or: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(or).value_parser(value_parser!(u64)).help(help)
}

fn stub_origin_command() -> Command {
    Command::new("stub-origin")
        .about("Rehearsals: run a stand-in origin")
        .arg(need("at", "Its address").value_parser(value_parser!(Addr)))
        .arg(need("service", "The service it serves"))
        .arg(need("zone", "Where it sits"))
        .arg(
            need("controllers", "Controllers' HTTP addresses")
                .value_delimiter(',')
                .value_parser(value_parser!(Addr)),
        )
        .arg(count("cap", "64", "Requests at once it says it holds"))
        .arg(count("work-ms", "5", "How long an answer takes"))
}

fn load_client_command(env: Arg) -> Command {
    Command::new("load-client")
        .about("Rehearsals: run callers against a fleet, and check from outside")
        .arg(env)
        .arg(count("seconds", "10", "How long"))
        .arg(count("rate", "0", "Requests a second; 0 takes the settings' own"))
        .arg(count("seed", "1", "Seed of the mix"))
        .arg(
            Arg::new("follow")
                .long("follow")
                .action(clap::ArgAction::SetTrue)
                .help("Ask only edges that say that they are ready"),
        )
        .arg(count("pushy", "0", "How often a denied caller asks again at once"))
}

fn stub_origin(m: &ArgMatches) -> Result<(), PlayProblem> {
    let text = |n: &str| m.get_one::<String>(n).expect("required").clone();
    let addr = *m.get_one::<Addr>("at").expect("required");
    let env = stub_origin::StubOriginEnv {
        at: addr,
        svc: text("service"),
        zone: text("zone"),
        cap: *m.get_one::<u64>("cap").expect("has a default") as u32,
        controllers: m.get_many("controllers").expect("required").copied().collect(),
        work: Duration::from_millis(*m.get_one("work-ms").expect("has a default")),
    };
    stub_origin::run(env).then_some(()).ok_or(PlayProblem::Listen { addr })
}

fn load_client(m: &ArgMatches) -> Result<(), PlayProblem> {
    let env = Env::load(m.get_one::<PathBuf>("env").expect("required"))?;
    let r = env.rehearsal.as_ref().ok_or(PlayProblem::NoMix)?;
    let mix = mix::read_mix(&Look::at(r, "rehearsal"))?;
    let n = |name: &str| *m.get_one::<u64>(name).expect("has a default");
    let rate = if n("rate") == 0 { mix.rate } else { n("rate") };
    let h = load_client::run(load_client::LoadClientEnv {
        edges: env.nodes.iter().filter(|p| p.role == Role::Edge).map(|p| p.http).collect(),
        mix: mix.clone(),
        rate,
        span: Duration::from_secs(n("seconds")),
        seed: n("seed"),
        pushy: n("pushy"),
        follow: m.get_flag("follow"),
        purged: Default::default(),
    });
    let counts = audit::collect(&mix);
    print!("{}", audit::summary(&mix, &counts, &h, rate));
    let v = audit::violations(&mix, &counts, &h);
    v.iter().for_each(|v| println!("VIOLATION {v}"));
    v.is_empty().then_some(()).ok_or(PlayProblem::Violations { count: v.len() })
}
