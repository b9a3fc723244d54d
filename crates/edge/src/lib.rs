//! Decision logic of the edge proxy: routing, admission, cached copies and idempotency keys.
//! [`Edge`] is a pure state machine: it performs no I/O, and an executor feeds it events and
//! carries out what it decides.
mod admission;
mod answers;
mod body_size;
mod cacheability;
mod claim;
mod copies;
mod copy_results;
mod departures;
mod edge;
mod expiry;
mod fill_progress;
mod forwarded_calls;
mod health;
mod homes;
mod job;
mod jobs;
mod keyed;
mod load_balancing;
mod local_controller;
mod memory_pressure;
mod metrics;
mod nearby_origins;
mod origins;
mod outcome_deliveries;
mod policy;
mod purge;
mod purged_tags;
mod queue;
mod read;
mod revalidation;
mod rounds;
mod route_table;
mod shared_fetch;
mod sources;
mod table;
mod updates;

pub use edge::{Edge, EdgeEnv, EdgePolicy};
pub use metrics::EdgeMetrics;
