//! Plug-in with the stand-ins for origins and callers, for rehearsals.
use crate::args;
use crate::kernel::{Plugin, PLUGINS};
use clap::{value_parser, Arg, ArgMatches, Command};
use control_state::Role;
use linkme::distributed_slice;
use primitives::{Addr, JsonError, Look};
use runtime::settings::{Env, SettingsError};
use snafu::{ensure, OptionExt, Snafu};
use stand_ins::load_client::LoadClientEnv;
use stand_ins::stub_origin::StubOriginEnv;
use stand_ins::{audit, load_client, mix, stub_origin};
use std::path::PathBuf;
use std::time::Duration;

const STUB_ORIGIN: &str = "stub-origin";
const LOAD_CLIENT: &str = "load-client";

/// Why a stand-in failed.
#[derive(Debug, Snafu)]
pub enum RehearsalError {
    /// The settings file is invalid.
    #[snafu(display("{source}"), context(false))]
    Env { source: SettingsError },
    /// The rehearsal part of the settings file is invalid.
    #[snafu(display("{source}"), context(false))]
    Mix { source: JsonError },
    /// The settings file has no `rehearsal` part.
    #[snafu(display("the settings file has no rehearsal part"))]
    NoMix,
    /// The stub origin's address cannot be bound.
    #[snafu(display("cannot listen on {addr}"))]
    Listen { addr: Addr },
    /// The audit found violations; they have been printed.
    #[snafu(display("{count} violations"))]
    Violations { count: usize },
}

type Result<T> = std::result::Result<T, RehearsalError>;

#[distributed_slice(PLUGINS)]
static STAND_INS: Plugin = Plugin {
    place: 3,
    commands: || vec![stub_origin_command(), load_client_command()],
    run: |name, matches| Ok(run(name, matches)?),
};

fn run(name: &str, matches: &ArgMatches) -> Result<()> {
    match name {
        STUB_ORIGIN => run_stub_origin(matches),
        _ => run_load_client(matches),
    }
}

fn required(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).required(true).help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
}

fn stub_origin_command() -> Command {
    let controllers = required("controllers", "Controllers' HTTP addresses");
    Command::new(STUB_ORIGIN)
        .about("Rehearsals: run a stand-in origin")
        .arg(required("at", "HTTP address to serve at").value_parser(value_parser!(Addr)))
        .arg(required("service", "The service it serves"))
        .arg(required("zone", "Zone of the origin"))
        .arg(controllers.value_delimiter(',').value_parser(value_parser!(Addr)))
        .arg(number("cap", "64", "Number of concurrent requests it announces as its limit"))
        .arg(number("work-ms", "5", "Time to answer a request, in milliseconds"))
}

fn load_client_command() -> Command {
    Command::new(LOAD_CLIENT)
        .about("Rehearsals: send requests to a fleet and audit the answers")
        .arg(args::env())
        .arg(number("seconds", "10", "Duration of the run, in seconds"))
        .arg(number("rate", "0", "Requests per second; 0 for the rate in the settings file"))
        .arg(number("seed", "1", "Seed of the request mix"))
        .arg(args::flag("follow", "Send requests only to edges that report that they are ready"))
        .arg(number("pushy", "0", "Number of immediate retries after a denial"))
}

fn run_stub_origin(matches: &ArgMatches) -> Result<()> {
    let string = |name: &str| matches.get_one::<String>(name).expect("required").clone();
    let addr = *matches.get_one::<Addr>("at").expect("required");
    let could_listen = stub_origin::run(StubOriginEnv {
        at: addr,
        svc: string("service"),
        zone: string("zone"),
        cap: *matches.get_one::<u64>("cap").expect("has a default") as u32,
        controllers: matches.get_many("controllers").expect("required").copied().collect(),
        work: Duration::from_millis(*matches.get_one("work-ms").expect("has a default")),
    });
    ensure!(could_listen, ListenSnafu { addr });
    Ok(())
}

fn run_load_client(matches: &ArgMatches) -> Result<()> {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let env = Env::load(matches.get_one::<PathBuf>("env").expect("required"))?;
    let rehearsal = env.rehearsal.as_ref().context(NoMixSnafu)?;
    let mix = mix::read_mix(&Look::at(rehearsal, "rehearsal"))?;
    let rate = if number("rate") == 0 { mix.rate } else { number("rate") };
    let report = load_client::run(LoadClientEnv {
        edges: env.nodes.iter().filter(|place| place.role == Role::Edge).map(|place| place.http).collect(),
        mix: mix.clone(),
        rate,
        span: Duration::from_secs(number("seconds")),
        seed: number("seed"),
        pushy: number("pushy"),
        follow: matches.get_flag("follow"),
        purged: Default::default(),
    });
    let tallies = audit::collect(&mix);
    print!("{}", audit::summary(&mix, &tallies, &report, rate));
    let violations = audit::violations(&mix, &tallies, &report);
    violations.iter().for_each(|violation| println!("VIOLATION {violation}"));
    ensure!(violations.is_empty(), ViolationsSnafu { count: violations.len() });
    Ok(())
}
