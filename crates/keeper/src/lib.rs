//! The keeper, a pure part: agreement, control state, feeds and leases, duty.
mod apply;
mod beats;
mod duty;
mod era;
mod feeds;
mod force;
mod found;
mod keeper;
mod landing;
mod recs;
mod roll;
mod show;

pub use keeper::{Keeper, KeeperEnv};
pub use recs::Kept;
