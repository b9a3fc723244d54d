//! lanewing: `lanewing` runs every role and speaks for operators.
mod args;
mod books;
mod commands;
mod daemons;
mod desk;
mod elsewhere;
mod kernel;
mod ops;
mod plan;
mod play;
mod roles;
mod sheet;

use snafu::Snafu;
use std::process::ExitCode;

/// Whatever ends a command badly.
#[derive(Debug, Snafu)]
enum LanewingProblem {
    #[snafu(display("{source}"), context(false))]
    Start { source: roles::StartProblem },
    #[snafu(display("{source}"), context(false))]
    Platform { source: platform::PlatformProblem },
    #[snafu(display("{source}"), context(false))]
    Ops { source: ops::OpsProblem },
    #[snafu(display("{source}"), context(false))]
    Play { source: play::PlayProblem },
}

impl LanewingProblem {
    /// 1: it was denied or went wrong; 2: what was asked makes no sense;
    /// 3: not known whether it took effect.
    fn code(&self) -> u8 {
        match self {
            LanewingProblem::Start { source: roles::StartProblem::Env { .. } } => 2,
            LanewingProblem::Platform { source } => source.code(),
            LanewingProblem::Ops { source } => source.code(),
            _ => 1,
        }
    }
}

fn main() -> ExitCode {
    let m = kernel::command().get_matches();
    kernel::run(&m).map(|()| ExitCode::SUCCESS).unwrap_or_else(|p| {
        eprintln!("lanewing: {p}");
        ExitCode::from(p.code())
    })
}
