//! The control state that controllers decide and edges obey, and every message
//! between lanewing's processes.
mod call;
mod cmd;
mod follow;
mod heads;
mod items;
mod msg;
mod pair;
mod part;
mod purged;
mod read;
mod roll;
mod rounds;
mod share;
mod sheet;
mod shelf;
mod show;
mod state;
mod whole;

pub use call::*;
pub use cmd::*;
pub use follow::*;
pub use heads::*;
pub use items::*;
pub use msg::*;
pub use pair::*;
pub use part::*;
pub use purged::*;
pub use read::*;
pub use roll::*;
pub use rounds::*;
pub use share::*;
pub use sheet::*;
pub use shelf::*;
pub use show::*;
pub use state::*;
pub use whole::*;
