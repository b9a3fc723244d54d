//! How long other edges take to answer, and so how long they are waited for: a smoothed mean and
//! deviation, as TCP keeps of its round trips (RFC 6298).
use primitives::Span;

/// Weight of a new sample in the mean, and in the deviation.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations over the mean that are waited for.
const DEVIATIONS: f64 = 4.0;
/// Nobody is waited for longer.
const LONGEST: Span = Span::secs(1);

/// Of one kind of question.
#[derive(Copy, Clone, Debug, Default)]
pub(crate) struct AnswerTime {
    mean: Option<f64>,
    deviation: f64,
}

impl AnswerTime {
    /// An answer took so long.
    pub(crate) fn note(&mut self, took: Span) {
        let took = took.0 as f64;
        match self.mean {
            None => (self.mean, self.deviation) = (Some(took), took / 2.0),
            Some(mean) => {
                self.deviation += DEVIATION_GAIN * ((took - mean).abs() - self.deviation);
                self.mean = Some(mean + MEAN_GAIN * (took - mean));
            }
        }
    }

    /// Who has not answered after so long is taken for gone; `least` is always waited.
    pub(crate) fn limit(&self, least: Span) -> Span {
        let usual = self.mean.map_or(0.0, |mean| mean + DEVIATIONS * self.deviation);
        Span(usual as u64).max(least).min(LONGEST.max(least))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEAST: Span = Span::ms(100);

    fn after(samples: &[u64]) -> Span {
        let mut time = AnswerTime::default();
        samples.iter().for_each(|ms| time.note(Span::ms(*ms)));
        time.limit(LEAST)
    }

    #[test]
    fn given_quick_answers_then_the_least_is_waited_and_given_slow_ones_more_up_to_a_bound() {
        assert_eq!(after(&[]), LEAST);
        assert_eq!(after(&[2; 20]), LEAST);
        let slow = after(&[200; 40]);
        assert!((Span::ms(200)..Span::ms(230)).contains(&slow), "{slow:?}");
        let uneven = after(&[20, 300, 20, 300, 20, 300, 20, 300]);
        assert!((Span::ms(400)..LONGEST).contains(&uneven), "{uneven:?}");
        assert_eq!(after(&[9000; 5]), LONGEST);
    }
}
