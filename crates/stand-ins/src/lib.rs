//! Stand-ins for rehearsals: a stub origin, a load client that plays the callers, and an
//! audit of what callers saw against what origins counted.
#![deny(missing_docs)]
#![deny(clippy::too_many_lines)]

mod answer;
pub mod audit;
pub mod content;
pub mod load_client;
pub mod mix;
mod readiness;
pub mod stub_origin;
pub mod web;
