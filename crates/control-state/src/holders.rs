//! Which disks hold the outcome of a key.
//!
//! The list is one of the fields of the outcome's answer, so that it travels and is stored with it,
//! and versions of the product that do not know it pass it on unchanged. It never reaches a caller.
use crate::items::*;
use crate::roll::Roll;
use crate::whole::Whole;
use primitives::{Addr, Birth, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// Entries `address@birth`, the birth in hexadecimal, parted by spaces.
const HOLDERS: &str = "lanewing-holders";

/// A ledger, and the life of its disk: another disk at that address has lost what this one held.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
    /// The disks that hold this outcome, as far as its sender knew; none where it was not said.
    pub fn holders(&self) -> Vec<Holder> {
        let list = self.heads.get(HOLDERS).unwrap_or_default();
        list.split_ascii_whitespace().filter_map(Holder::parse).collect()
    }

    /// The same outcome, held by these.
    pub fn with_holders(&self, holders: &[Holder]) -> Whole {
        let one = |h: &Holder| format!("{}@{:x}", h.addr, h.birth.0);
        let list: Vec<String> = holders.iter().map(one).collect();
        Whole { heads: self.without_holders().heads.with(HOLDERS, list.join(" ")), ..self.clone() }
    }

    /// As it is handed to callers.
    pub fn without_holders(&self) -> Whole {
        Whole { heads: self.heads.without(|name| name == HOLDERS), ..self.clone() }
    }
}

/// The ledgers that have a place in the roll, each with the life of the disk it has now.
pub fn current_ledgers(items: &BTreeMap<Key, Item>) -> BTreeMap<Addr, Birth> {
    let seated: BTreeSet<Addr> = Roll::of(items).seats().map(|s| s.addr).collect();
    let nodes = items.range(Key::Node(NodeId(0))..=Key::Node(NodeId(u64::MAX)));
    let ledgers = nodes.filter_map(|(_, item)| match &item.body {
        Some(Body::Node(n)) if n.role == Role::Ledger => Some((n.addr, n.birth)),
        _ => None,
    });
    ledgers.filter(|(addr, _)| seated.contains(addr)).collect()
}
