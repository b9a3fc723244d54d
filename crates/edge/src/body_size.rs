//! How large the bodies of each lane are, in the middle, as far as this edge has seen.
use control_state::Lane;
use std::collections::BTreeMap;

/// Weight of a new body in the mean.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Smoothed means, by lane.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodySizes {
    means: BTreeMap<Lane, f64>,
}

impl BodySizes {
    /// A body of that lane was so large.
    pub(crate) fn note(&mut self, lane: &Lane, bytes: usize) {
        let bytes = bytes as f64;
        let mean = self.means.entry(lane.clone()).or_insert(bytes);
        *mean += SMOOTHING_FACTOR * (bytes - *mean);
    }

    /// Whether bodies of that lane are larger; of a lane without any nobody knows.
    pub(crate) fn exceed(&self, lane: &Lane, bytes: usize) -> bool {
        self.means.get(lane).is_some_and(|mean| *mean > bytes as f64)
    }
}
