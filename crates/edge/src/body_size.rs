//! Typical body size of each route, as observed by this edge.
use control_state::Lane;
use std::collections::BTreeMap;

/// Weight of a new body in the moving average.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Exponential moving averages of body sizes in bytes, by route.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodySizes {
    means: BTreeMap<Lane, f64>,
}

impl BodySizes {
    /// Records a body of that route.
    pub(crate) fn note(&mut self, route: &Lane, bytes: usize) {
        let bytes = bytes as f64;
        let mean = self.means.entry(route.clone()).or_insert(bytes);
        *mean += SMOOTHING_FACTOR * (bytes - *mean);
    }

    /// Whether the route's average body is larger than `bytes`; false while no body was observed.
    pub(crate) fn exceed(&self, route: &Lane, bytes: usize) -> bool {
        self.means.get(route).is_some_and(|mean| *mean > bytes as f64)
    }
}
