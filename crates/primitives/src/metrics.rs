//! Histograms of waiting times, with the same buckets everywhere.
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};

/// Buckets from 2 ms, each twice the one before, to 8 s.
const FIRST_BUCKET_SECONDS: f64 = 0.002;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKETS: u16 = 13;

/// Histograms of waits in seconds, by label.
pub type WaitHistograms<L> = Family<L, Histogram, fn() -> Histogram>;

fn wait_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKETS))
}

/// An empty family of histograms of waits.
pub fn wait_histograms<L: Clone + std::hash::Hash + Eq>() -> WaitHistograms<L> {
    Family::new_with_constructor(wait_histogram)
}
