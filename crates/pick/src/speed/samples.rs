//! What the answers of a whole pool show of its usual times.

use std::collections::VecDeque;

/// The number of answers that are kept.
const MAX_SAMPLES: usize = 64;

/// The number of answers before which nothing is concluded.
const MIN_SAMPLES: usize = 16;

/// The number of new answers after which the line is fitted again.
const REFIT: usize = 4;

/// The ratio between two amounts of work from which a rate can be told from a fixed time.
const MIN_SPAN: f64 = 1.5;

/// The rates in tokens per millisecond that are believed.
const RATES: (f64, f64) = (2.0, 2_000.0);

/// The usual time of an answer, by the tokens to read: a fixed time and a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Line {
    pub(super) fixed_ms: f64,
    pub(super) tokens_per_ms: f64,
}

/// The newest answers of a pool: the work, and the time that it took in milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Samples {
    recent: VecDeque<(f64, f64)>,
    unfitted: usize,
    line: Option<Line>,
}

impl Samples {
    pub(super) fn record(&mut self, work: f64, ms: f64, default_rate: f64) {
        if self.recent.len() == MAX_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back((work, ms));
        self.unfitted += 1;
        let is_due = self.line.is_none() || self.unfitted >= REFIT;
        if self.recent.len() >= MIN_SAMPLES && is_due {
            self.unfitted = 0;
            self.line = Some(self.fit(default_rate));
        }
    }

    /// Returns the usual time, or none before enough answers have arrived.
    pub(super) const fn line(&self) -> Option<Line> {
        self.line
    }

    /// Fits a line with the median slope between answers with less and with more work, which slow answers hardly move.
    fn fit(&self, default_rate: f64) -> Line {
        let mut samples: Vec<_> = self.recent.iter().copied().collect();
        samples.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (small, large) = samples.split_at(samples.len() / 2);
        let pairs = small.iter().zip(large);
        let pairs = pairs.filter(|(small, large)| large.0 > small.0.max(1.0) * MIN_SPAN);
        let slopes = pairs.map(|(small, large)| (large.1 - small.1) / (large.0 - small.0));
        let slopes: Vec<_> = slopes.collect();
        let mut rate = self.line.map_or(default_rate, |line| line.tokens_per_ms);
        if slopes.len() >= MIN_SAMPLES / 4 {
            let slope = median(slopes);
            if slope > 0.0 {
                rate = slope.recip();
            }
        }
        let fixed_ms = median(samples.iter().map(|(work, ms)| ms - work / rate).collect());
        if fixed_ms < 0.0 {
            // Reading takes no longer than the whole answer.
            let rates = samples.iter().map(|(work, ms)| work / ms.max(1.0));
            rate = median(rates.collect());
        }
        Line {
            fixed_ms: fixed_ms.max(0.0),
            tokens_per_ms: rate.clamp(RATES.0, RATES.1),
        }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let at = values.len() / 2;
    let (_, middle, _) = values.select_nth_unstable_by(at, f64::total_cmp);
    *middle
}
