//! Stand-ins for rehearsals: origins, callers, and the look from outside.
pub mod audit;
pub mod content;
mod got;
pub mod load_client;
pub mod mix;
mod ready;
pub mod stub_origin;
pub mod web;
