//! The encoding of a node on disk and in messages. Nodes of earlier versions had no capacity; their
//! encoding can still be read.
use crate::items::{Node, Role, Standing, Zone};
use primitives::{Addr, Birth};
use serde::{Deserialize, Serialize};

/// The capacity of a node that was stored without one.
const UNKNOWN_CAPACITY: u32 = 1;

/// The encoded form. Invariant: the order of fields never changes, and variants are only added at the
/// end.
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredNode {
    role: Role,
    addr: Addr,
    http: Addr,
    zone: Zone,
    birth: Birth,
    standing: StoredStanding,
}

/// The standing, in current versions with the capacity.
#[derive(Serialize, Deserialize)]
enum StoredStanding {
    Serving,
    Leaving,
    ServingWith { capacity: u32 },
    LeavingWith { capacity: u32 },
}

impl From<Node> for StoredNode {
    fn from(node: Node) -> StoredNode {
        let Node { role, addr, http, zone, birth, standing, capacity } = node;
        let standing = match standing {
            Standing::Serving => StoredStanding::ServingWith { capacity },
            Standing::Leaving => StoredStanding::LeavingWith { capacity },
        };
        StoredNode { role, addr, http, zone, birth, standing }
    }
}

impl From<StoredNode> for Node {
    fn from(stored: StoredNode) -> Node {
        let StoredNode { role, addr, http, zone, birth, standing } = stored;
        let (standing, capacity) = match standing {
            StoredStanding::Serving => (Standing::Serving, UNKNOWN_CAPACITY),
            StoredStanding::Leaving => (Standing::Leaving, UNKNOWN_CAPACITY),
            StoredStanding::ServingWith { capacity } => (Standing::Serving, capacity),
            StoredStanding::LeavingWith { capacity } => (Standing::Leaving, capacity),
        };
        Node { role, addr, http, zone, birth, standing, capacity }
    }
}
