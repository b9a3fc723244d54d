//! Identity of content that may be cached.
use crate::items::Svc;
use serde::{Deserialize, Serialize};

/// Distinguishes equal paths of one service, as its origins do: the host of the request in lower
/// case, or the name of the route if routes have no host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Site(pub String);

/// Content of a service that may be cached.
///
/// Invariant: two requests for one object get the same response from an origin. The name of the
/// route is not part of the identity: a route may get another host, service or prefix under the same
/// name, and nodes learn of that at different times.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Object {
    pub service: Svc,
    pub site: Site,
    /// Including the query.
    pub path: String,
}
