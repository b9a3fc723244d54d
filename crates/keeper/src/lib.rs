//! The keeper, a pure part: agreement, control state, feeds and leases, duty.
mod apply;
mod beats;
mod calls;
mod duty;
mod era;
mod feeds;
mod force;
mod found;
mod keeper;
mod landing;
mod open;
mod recs;
mod roll;
mod settings;
mod show;

pub use keeper::{Keeper, KeeperEnv, Open};
pub use recs::Kept;
