//! Plug-in with the `platform` subcommand.
use crate::kernel::{Plugin, PLUGINS};
use linkme::distributed_slice;

#[distributed_slice(PLUGINS)]
static PLATFORM: Plugin = Plugin {
    place: 9,
    commands: || vec![platform::command()],
    run: |_, matches| Ok(platform::run(matches)?),
};
