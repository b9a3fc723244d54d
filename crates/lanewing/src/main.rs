//! The `lanewing` program: runs every role, and speaks for operators.
#![deny(missing_docs)]
#![deny(clippy::too_many_lines)]

mod args;
mod columns;
mod http_api;
mod kernel;
mod operator;
mod operator_commands;
mod plan;
mod platform_command;
mod rehearsal;
mod role_commands;
mod roles;
mod runbook;

use snafu::Snafu;
use std::process::ExitCode;

/// Exit statuses; see `docs/operators/settings.md`.
const FAILED: u8 = 1;
const INVALID: u8 = 2;

/// Why a command failed.
#[derive(Debug, Snafu)]
enum LanewingProblem {
    /// A role could not start.
    #[snafu(display("{source}"), context(false))]
    Start { source: roles::StartProblem },
    /// The platform's program failed.
    #[snafu(display("{source}"), context(false))]
    Platform { source: platform::PlatformProblem },
    /// An operator's command failed.
    #[snafu(display("{source}"), context(false))]
    Operator { source: operator::OperatorProblem },
    /// A stand-in failed.
    #[snafu(display("{source}"), context(false))]
    Rehearsal { source: rehearsal::RehearsalProblem },
}

impl LanewingProblem {
    fn exit_status(&self) -> u8 {
        match self {
            LanewingProblem::Start { source: roles::StartProblem::Env { .. } } => INVALID,
            LanewingProblem::Platform { source } => source.code(),
            LanewingProblem::Operator { source } => source.exit_status(),
            _ => FAILED,
        }
    }
}

fn main() -> ExitCode {
    let matches = kernel::command().get_matches();
    match kernel::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("lanewing: {problem}");
            ExitCode::from(problem.exit_status())
        }
    }
}
