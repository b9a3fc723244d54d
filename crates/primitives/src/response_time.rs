//! Estimation of response times, from which timeouts are derived: a smoothed mean and deviation,
//! as TCP uses for its retransmission timeout (RFC 6298).
use crate::Span;

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new sample in the deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// The timeout exceeds the mean by this many deviations.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// Estimates the response time of one kind of request.
#[derive(Copy, Clone, Debug, Default)]
pub struct ResponseTimeEstimator {
    /// In microseconds; `None` before the first sample.
    mean: Option<f64>,
    /// In microseconds.
    deviation: f64,
}

impl ResponseTimeEstimator {
    /// Records the time that one response took.
    pub fn note(&mut self, response_time: Span) {
        let sample = response_time.0 as f64;
        match self.mean {
            None => (self.mean, self.deviation) = (Some(sample), sample / 2.0),
            Some(mean) => {
                self.deviation += DEVIATION_GAIN * ((sample - mean).abs() - self.deviation);
                self.mean = Some(mean + MEAN_GAIN * (sample - mean));
            }
        }
    }

    /// The timeout after which a peer that has not responded is considered unavailable, at least
    /// `min` and at most `max`; `min` if nothing has been recorded, or if `max` is less than `min`.
    pub fn limit(&self, min: Span, max: Span) -> Span {
        let timeout = self.mean.map_or(0.0, |mean| mean + TIMEOUT_DEVIATIONS * self.deviation);
        Span(timeout as u64).max(min).min(max.max(min))
    }
}
