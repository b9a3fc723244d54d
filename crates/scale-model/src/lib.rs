//! The scale model: real controllers, edges and ledgers in one process and in virtual time,
//! with every message encoded and framed, to measure what control costs at growing sizes.
//! Callers' requests are no part of it.
#![deny(missing_docs)]
#![deny(clippy::too_many_lines)]

mod delivery;
mod fleet;
mod growth;
mod lookup_cost;
mod meter;
mod part;
mod phases;
mod plan;
mod plot;
mod relay;
mod relay_cost;
mod relay_level;
mod row;
mod state;
mod table;
mod world;

pub use growth::{spread, Growth, Line};
pub use lookup_cost::lookups;
pub use meter::{resident, Meter, Tally};
pub use phases::run;
pub use plan::{Plan, Result, ScaleModelError, CONTROLLERS};
pub use plot::plot;
pub use relay::{Bundle, Relay, Word};
pub use relay_cost::relays;
pub use row::Row;
pub use table::table;
