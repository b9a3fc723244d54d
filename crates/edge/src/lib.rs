//! The edge, a pure part: the decision object that executors ask and obey.
mod answers;
mod body_size;
mod choice;
mod claim;
mod copies;
mod edge;
mod expiry;
mod forwarded_calls;
mod homes;
mod jobs;
mod keyed;
mod lanes;
mod line;
mod metrics;
mod origins;
mod policy;
mod press;
mod purge;
mod read;
mod renew;
mod rounds;
mod sharing;
mod sources;
mod table;
mod updates;

pub use edge::{Edge, EdgeEnv, EdgePolicy};
pub use metrics::EdgeMetrics;
