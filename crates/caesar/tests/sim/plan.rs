//! Parameters of a simulation.
use caesar::ReplicaConfig;

#[derive(Clone, Copy)]
pub struct Plan {
    pub n: usize,
    /// Probability that a message is lost.
    pub drop: f64,
    /// Probability that a message arrives twice.
    pub duplicate: f64,
    /// Bounds of the delay of a message, in microseconds.
    pub delay: (u64, u64),
    /// Bounds of the duration of a sync, in microseconds.
    pub sync: (u64, u64),
    pub config: ReplicaConfig,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            n: 4,
            drop: 0.0,
            duplicate: 0.0,
            delay: (500, 2000),
            sync: (200, 1500),
            config: ReplicaConfig::default(),
        }
    }
}
