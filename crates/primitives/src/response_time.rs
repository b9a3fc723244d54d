//! How long somebody takes to answer, and so how long an answer is waited for: a smoothed mean
//! and deviation, as TCP keeps of its round trips (RFC 6298).
use crate::Span;

/// Weight of a new sample in the mean, and in the deviation.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations over the mean that are waited for.
const DEVIATIONS: f64 = 4.0;

/// Of one kind of question.
#[derive(Copy, Clone, Debug, Default)]
pub struct ResponseTimeEstimator {
    mean: Option<f64>,
    deviation: f64,
}

impl ResponseTimeEstimator {
    /// An answer took so long.
    pub fn note(&mut self, took: Span) {
        let took = took.0 as f64;
        match self.mean {
            None => (self.mean, self.deviation) = (Some(took), took / 2.0),
            Some(mean) => {
                self.deviation += DEVIATION_GAIN * ((took - mean).abs() - self.deviation);
                self.mean = Some(mean + MEAN_GAIN * (took - mean));
            }
        }
    }

    /// Who has not answered after so long is taken for gone: at least and at most so much.
    pub fn limit(&self, least: Span, most: Span) -> Span {
        let usual = self.mean.map_or(0.0, |mean| mean + DEVIATIONS * self.deviation);
        Span(usual as u64).max(least).min(most.max(least))
    }
}
