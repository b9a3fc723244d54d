//! What a copy is a copy of.
use crate::items::Svc;
use serde::{Deserialize, Serialize};

/// What tells equal paths of one service apart, as its origins see them: the host of the
/// request, in lower case, or the lane's name where lanes have no host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Site(pub String);

/// Readable content of a service.
///
/// Invariant: two requests for one object get the same answer from an origin. The name of the lane
/// that led to it is no part of it: a lane may take another host, service or prefix under its old
/// name, and nodes learn of that at different times.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Object {
    pub service: Svc,
    pub site: Site,
    /// With its query.
    pub path: String,
}
