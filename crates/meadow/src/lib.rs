//! Stand-ins for rehearsals: origins, callers, and the look from outside.
pub mod audit;
pub mod content;
pub mod flower;
pub mod forager;
mod got;
pub mod mix;
mod ready;
pub mod web;
