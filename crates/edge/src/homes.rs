//! The edges that are homes of cached copies, by the reach they serve as homes for.
use control_state::*;
use std::collections::BTreeMap;

/// Homes of each zone, of each region and of the deployment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Homes {
    /// Number of edges in service.
    pub edges: usize,
    by_zone: BTreeMap<Zone, Vec<EdgeNode>>,
    by_region: BTreeMap<String, Vec<EdgeNode>>,
    deployment: Vec<EdgeNode>,
}

impl Homes {
    pub(crate) fn of(items: &BTreeMap<Key, Item>) -> Homes {
        let serving =
            |item: &Item| matches!(&item.body, Some(Body::Node(n)) if n.standing == Standing::Serving);
        let all = items.iter().filter(|(_, item)| serving(item));
        let edges: Vec<EdgeNode> = all.filter_map(|(key, item)| EdgeNode::of(key, item)).collect();
        let mut found = Homes { edges: edges.len(), deployment: select_homes(&edges), ..Homes::default() };
        for edge in edges {
            found.by_region.entry(edge.zone.region().to_string()).or_default().push(edge.clone());
            found.by_zone.entry(edge.zone.clone()).or_default().push(edge);
        }
        found.by_zone.values_mut().for_each(|edges| *edges = select_homes(edges));
        found.by_region.values_mut().for_each(|edges| *edges = select_homes(edges));
        found
    }

    /// The reaches that have homes in a deployment with several tiers, nearest first. A region that
    /// is the whole deployment has no tier above it.
    pub(crate) fn tiers(&self) -> &'static [Reach] {
        if self.by_region.len() > 1 {
            &[Reach::Zone, Reach::Region, Reach::Deployment]
        } else {
            &[Reach::Zone, Reach::Region]
        }
    }

    /// The homes of the given reach around a zone.
    pub(crate) fn within(&self, reach: Reach, zone: &Zone) -> &[EdgeNode] {
        match reach {
            Reach::Zone => self.by_zone.get(zone).map_or(&[], Vec::as_slice),
            Reach::Region => self.by_region.get(zone.region()).map_or(&[], Vec::as_slice),
            Reach::Deployment => &self.deployment,
        }
    }
}

fn select_homes(edges: &[EdgeNode]) -> Vec<EdgeNode> {
    homes(edges).cloned().collect()
}
