//! What can go wrong while a development fleet is driven.
use primitives::LookProblem;
use runtime::env::EnvProblem;
use snafu::Snafu;

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetProblem {
    #[snafu(display("{source}"), context(false))]
    Env { source: EnvProblem },
    #[snafu(display("{source}"), context(false))]
    Mix { source: LookProblem },
    #[snafu(display("the settings file has no rehearsal part"))]
    NoMix,
    #[snafu(display("{what}: {source}"))]
    Os { what: String, source: std::io::Error },
    #[snafu(display("{what} did not happen within {secs} s"))]
    Waited { what: String, secs: u64 },
    #[snafu(display("no play {name}; there are {these}"))]
    NoPlay { name: String, these: String },
    #[snafu(display("no process {name}"))]
    NoProcess { name: String },
    #[snafu(display("signal to {name}: {source}"))]
    Signal { name: String, source: nix::Error },
    #[snafu(display("{what} was answered with {status}: {body}"))]
    Denied { what: String, status: u16, body: String },
    #[snafu(display("the failure was not brought about: {why}"))]
    NoFailure { why: String },
    #[snafu(display("{} violations: {}", all.len(), all.join("; ")))]
    Violations { all: Vec<String> },
}
