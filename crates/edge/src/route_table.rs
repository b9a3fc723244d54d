//! Routes by host and path. The lookup time grows with the path, not with the table.
use control_state::*;
use std::collections::BTreeMap;

/// Invariant: a prefix begins and ends with a slash, and belongs to one route.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: BTreeMap<String, BTreeMap<String, Lane>>,
}

impl RouteTable {
    /// Adds a route under the host and prefix of its entry.
    pub fn add(&mut self, name: &str, entry: &LaneEntry) {
        let host = self.by_host.entry(entry.host.to_ascii_lowercase()).or_default();
        host.insert(entry.prefix.clone(), Lane(name.to_string()));
    }

    /// The route with the longest prefix of the path. A port in the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Lane> {
        let path_only = path.split('?').next().unwrap_or(path);
        let host = host.rsplit_once(':').map_or(host, |(h, _)| h).to_ascii_lowercase();
        let routes = self.by_host.get(&host)?;
        let slashes = path_only.char_indices().filter(|(_, c)| *c == '/').map(|(i, _)| i);
        slashes.collect::<Vec<_>>().into_iter().rev().find_map(|i| routes.get(&path_only[..=i]))
    }
}
