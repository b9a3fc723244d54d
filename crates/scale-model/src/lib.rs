//! A scale_model fleet: the real controllers, edges and ledgers in one process and in virtual time,
//! with every message framed, to measure what control costs at growing sizes. Requests of
//! callers are no part of it.
mod carry;
mod fleet;
mod level;
mod lookup;
mod meter;
mod plan;
mod plot;
mod relay;
mod row;
mod slope;
mod stretch;
mod world;

pub use level::relays;
pub use lookup::lookups;
pub use meter::{resident, Meter, Tally};
pub use plan::{Plan, Result, ScaleModelProblem, CONTROLLERS};
pub use plot::plot;
pub use relay::{Bundle, Relay, Word};
pub use row::{table, Row};
pub use slope::{spread, Growth, Line};
pub use stretch::run;
