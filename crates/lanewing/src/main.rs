//! The `lanewing` program: runs the roles and the operators' commands.
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
/// The command was valid but failed.
const FAILED: u8 = 1;
/// Invalid arguments or settings.
const INVALID: u8 = 2;

/// Why a command failed.
#[derive(Debug, Snafu)]
enum LanewingError {
    /// A role could not start.
    #[snafu(display("{source}"), context(false))]
    Start { source: roles::StartError },
    /// The platform command failed.
    #[snafu(display("{source}"), context(false))]
    Platform { source: platform::PlatformError },
    /// An operator's command failed.
    #[snafu(display("{source}"), context(false))]
    Operator { source: operator::OperatorError },
    /// A stand-in for an origin or for callers failed.
    #[snafu(display("{source}"), context(false))]
    Rehearsal { source: rehearsal::RehearsalError },
}

impl LanewingError {
    fn exit_status(&self) -> u8 {
        match self {
            LanewingError::Start { source: roles::StartError::Env { .. } } => INVALID,
            LanewingError::Platform { source } => source.code(),
            LanewingError::Operator { source } => source.exit_status(),
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
