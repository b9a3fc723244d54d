//! Which disks hold the outcome of a keyed request.
//!
//! The list is a header field of the stored response, so that it is sent and stored with it, and
//! versions of the product that do not know it forward it unchanged. It is never sent to a caller.
use crate::items::*;
use crate::roll::Roll;
use crate::whole::Whole;
use primitives::{Addr, Birth, NodeId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Name of the field. Its entries are `address@birth`, with the birth in hexadecimal, separated by
/// spaces.
const HOLDERS_FIELD: &str = "lanewing-holders";

/// A ledger and the incarnation of its disk: another disk at that address has lost what this one held.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    pub addr: Addr,
    pub birth: Birth,
}

impl Holder {
    fn parse(text: &str) -> Option<Holder> {
        let (addr, birth) = text.split_once('@')?;
        let birth = Birth(u64::from_str_radix(birth, 16).ok()?);
        Some(Holder { addr: addr.parse().ok()?, birth })
    }
}

impl Whole {
    /// The disks that hold this outcome, as far as its sender knew; empty if there is no list.
    pub fn holders(&self) -> Vec<Holder> {
        let list = self.heads.get(HOLDERS_FIELD).unwrap_or_default();
        list.split_ascii_whitespace().filter_map(Holder::parse).collect()
    }

    /// The same outcome with this list of holders.
    pub fn with_holders(&self, holders: &[Holder]) -> Whole {
        let entry = |holder: &Holder| format!("{}@{:x}", holder.addr, holder.birth.0);
        let entries: Vec<String> = holders.iter().map(entry).collect();
        Whole { heads: self.without_holders().heads.with(HOLDERS_FIELD, entries.join(" ")), ..self.clone() }
    }

    /// The same outcome as it is sent to callers.
    pub fn without_holders(&self) -> Whole {
        Whole { heads: self.heads.without(|name| name == HOLDERS_FIELD), ..self.clone() }
    }
}

/// The ledgers in the ledger sets, each with the current incarnation of its disk.
pub fn current_ledgers(items: &BTreeMap<Key, Item>) -> BTreeMap<Addr, Birth> {
    let in_sets: BTreeSet<Addr> = Roll::of(items).seats().map(|slot| slot.addr).collect();
    let nodes = items.range(Key::Node(NodeId(0))..=Key::Node(NodeId(u64::MAX)));
    let registered = nodes.filter_map(|(_, item)| match &item.body {
        Some(Body::Node(node)) if node.role == Role::Ledger => Some((node.addr, node.birth)),
        _ => None,
    });
    registered.filter(|(addr, _)| in_sets.contains(addr)).collect()
}
