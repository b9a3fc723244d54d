//! The controller, a pure part: agreement, control state, feeds and leases, duty.
mod access;
mod apply;
mod beats;
mod calls;
mod catch_up;
mod contact;
mod controller;
mod duty;
mod era;
mod feeds;
mod force;
mod found;
mod landing;
mod leaving;
mod log;
mod membership;
pub mod membership_plan;
mod open;
mod origin_leaving;
mod pending;
mod recs;
mod roll;
mod settings;
mod show;
pub mod snapshot_transfer;

pub use controller::{Controller, ControllerEnv, Open};
pub use recs::Kept;
