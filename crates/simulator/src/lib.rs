//! Deterministic simulator: runs the state machines of the daemons over a virtual
//! network, virtual disks and virtual clocks, and checks the safety rules of the
//! specification from outside at every step. One seed determines a whole run.
mod contact_loss;
mod fleet;
mod numbers;
mod open;
mod origin_states;
mod outputs;
mod plan;
mod processes;
mod representations;
mod requests;
mod rules;
mod scope;
mod stand_in_origins;
mod world;

pub use contact_loss::*;
pub use fleet::*;
pub use open::*;
pub use processes::{Proc, RoleProcess};
pub use representations::{MADE_FOR, OF_BODY};
pub use requests::{req, Exchange, Want, TRY};
pub use rules::Rules;
pub use stand_in_origins::StandInOrigin;
pub use world::{Event, Plan, World};
