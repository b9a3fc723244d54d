//! The in-memory fleet: the same parts as in the daemons, over a virtual
//! network, virtual disks and virtual clocks, with the brief's rules checked at
//! every step from outside.
mod carry;
mod field;
mod numbers;
mod open;
mod people;
mod plan;
mod procs;
mod rules;
mod scope;
mod slots;
mod stage;
mod trouble;
mod world;

pub use field::Bloom;
pub use open::*;
pub use people::{req, Seen, Want};
pub use procs::{Proc, Role3};
pub use rules::Rules;
pub use stage::*;
pub use trouble::*;
pub use world::{Ev, Plan, World};
