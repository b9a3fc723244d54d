//! What can go wrong while a development fleet is driven.
use primitives::JsonError;
use runtime::settings::SettingsError;
use snafu::Snafu;

/// Why a command of the development fleet failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// The settings file is invalid.
    #[snafu(display("{source}"), context(false))]
    Env { source: SettingsError },
    /// The rehearsal part of the settings file is invalid.
    #[snafu(display("{source}"), context(false))]
    Mix { source: JsonError },
    /// There is no rehearsal part.
    #[snafu(display("the settings file has no rehearsal part"))]
    NoMix,
    /// The operating system refused something.
    #[snafu(display("{what}: {source}"))]
    Os { what: String, source: std::io::Error },
    /// Something awaited did not happen.
    #[snafu(display("{what} did not happen within {secs} s"))]
    TimedOut { what: String, secs: u64 },
    /// There is no scenario of this name.
    #[snafu(display("no scenario {name}; there are {these}"))]
    NoScenario { name: String, these: String },
    /// The fleet has no process of this name.
    #[snafu(display("no process {name}"))]
    NoProcess { name: String },
    /// A signal could not be sent.
    #[snafu(display("signal to {name}: {source}"))]
    Signal { name: String, source: nix::Error },
    /// Every controller that answered refused.
    #[snafu(display("{what} was answered with {status}: {body}"))]
    Denied { what: String, status: u16, body: String },
    /// The failure of a scenario could not be caused, so nothing was rehearsed.
    #[snafu(display("the failure was not brought about: {why}"))]
    NoFailure { why: String },
    /// The rehearsal found violations.
    #[snafu(display("{} violations: {}", all.len(), all.join("; ")))]
    Violations { all: Vec<String> },
}

/// What the development fleet's functions return.
pub type Result<T> = std::result::Result<T, FleetError>;
