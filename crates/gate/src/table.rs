//! What a gate routes by: an immutable snapshot, built anew and swapped whole.
use brood::*;
use std::collections::BTreeMap;
use wax::{Addr, NodeId};

#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Only live rows.
    pub lanes: BTreeMap<Lane, Vec<(Svc, Row)>>,
    /// Only origins that serve.
    pub origins: BTreeMap<Svc, Vec<(Addr, Origin)>>,
    pub gates: Vec<(NodeId, Addr)>,
    pub combs: Vec<(NodeId, Addr, Zone)>,
    pub roll: Roll,
    pub shares: BTreeMap<Svc, Share>,
}

impl Table {
    pub fn build(items: &BTreeMap<Key, Item>) -> Table {
        let mut t = Table { roll: Roll::of(items), ..Table::default() };
        for (k, it) in items {
            match (k, &it.body) {
                (Key::Row(l, s), Some(Body::Row(r))) => {
                    t.lanes.entry(l.clone()).or_default().push((s.clone(), r.clone()));
                    t.shares.entry(s.clone()).or_insert_with(|| share(items, s).expect("has this row"));
                }
                (Key::Origin(a), Some(Body::Origin(o))) if o.standing == Standing::Serving => {
                    t.origins.entry(o.svc.clone()).or_default().push((*a, o.clone()));
                }
                (Key::Node(id), Some(Body::Node(n))) => match n.role {
                    Role::Gate if n.standing == Standing::Serving => t.gates.push((*id, n.addr)),
                    Role::Comb => t.combs.push((*id, n.addr, n.zone.clone())),
                    _ => (),
                },
                _ => (),
            }
        }
        t
    }

    /// The strictest kind of the lane's rows.
    pub fn kind(&self, l: &Lane) -> Option<Kind> {
        self.lanes.get(l)?.iter().map(|(_, r)| r.kind).max()
    }

    /// One of the lane's services by weight; `spin` decides, evenly spread.
    pub fn pick(&self, l: &Lane, spin: u64) -> Option<(Svc, Row)> {
        let rows = self.lanes.get(l)?;
        let sum: u64 = rows.iter().map(|(_, r)| r.weight as u64).sum();
        let mut at = spin.checked_rem(sum)?;
        rows.iter()
            .find(|(_, r)| {
                let here = at < r.weight as u64;
                at = at.saturating_sub(r.weight as u64);
                here
            })
            .cloned()
    }
}
