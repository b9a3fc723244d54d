//! Histograms of waiting times, all with the same buckets.
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};

/// Upper bound of the first bucket. Each bucket's bound is twice the one before; the last is 8.192 s.
const FIRST_BUCKET_SECONDS: f64 = 0.002;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKETS: u16 = 13;

/// A family of histograms of waiting times in seconds, by label set.
pub type WaitHistograms<L> = Family<L, Histogram, fn() -> Histogram>;

fn wait_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKETS))
}

/// Creates an empty family of histograms of waiting times.
pub fn wait_histograms<L: Clone + std::hash::Hash + Eq>() -> WaitHistograms<L> {
    Family::new_with_constructor(wait_histogram)
}
