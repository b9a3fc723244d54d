//! The controller, a pure part: agreement, control state, feeds and leases, duty.
mod access;
mod apply;
mod beats;
mod calls;
mod catch_up;
mod controller;
mod disk_health;
mod duty;
mod era;
mod feeds;
mod force;
mod found;
mod landing;
mod log;
mod open;
mod recs;
mod roll;
mod settings;
mod show;
pub mod snapshot_transfer;

pub use controller::{Controller, ControllerEnv, Open};
pub use recs::Kept;
