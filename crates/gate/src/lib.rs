//! The gate, a pure part: the decision object that executors ask and obey.
mod copies;
mod gate;
mod jobs;
mod keyed;
mod news;
mod origins;
mod press;
mod read;
mod rounds;
mod sharing;
mod table;

pub use gate::{Gate, GateEnv};
