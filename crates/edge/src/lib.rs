//! The edge, a pure part: the decision object that executors ask and obey.
mod answers;
mod choice;
mod claim;
mod copies;
mod edge;
mod errand;
mod jobs;
mod keyed;
mod lanes;
mod news;
mod origins;
mod policy;
mod press;
mod purge;
mod read;
mod renew;
mod rounds;
mod sharing;
mod table;

pub use edge::{Edge, EdgeEnv, EdgePolicy};
