//! Lanes by host and path: found in time that grows with the path, not the table.
use control_state::*;
use std::collections::BTreeMap;

/// Invariant: a prefix begins and ends with a slash; one lane has each.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: BTreeMap<String, BTreeMap<String, Lane>>,
}

impl RouteTable {
    pub fn add(&mut self, name: &str, entry: &LaneEntry) {
        let host = self.by_host.entry(entry.host.to_ascii_lowercase()).or_default();
        host.insert(entry.prefix.clone(), Lane(name.to_string()));
    }

    /// The lane with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Lane> {
        let path_only = path.split('?').next().unwrap_or(path);
        let host = host.rsplit_once(':').map_or(host, |(h, _)| h).to_ascii_lowercase();
        let routes = self.by_host.get(&host)?;
        let slashes = path_only.char_indices().filter(|(_, c)| *c == '/').map(|(i, _)| i);
        slashes.collect::<Vec<_>>().into_iter().rev().find_map(|i| routes.get(&path_only[..=i]))
    }
}
