//! Quantiles of recent latencies.

use core::time::Duration;

/// A latency histogram with buckets an eighth of an octave wide, in which old samples decay.
///
/// A quantile is at most 9% above the true value.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: Vec<u32>,
    total: u32,
}

/// Number of buckets per octave.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Number of buckets, which cover a microsecond to more than a day.
const BUCKETS: usize = 37 * 8;
/// Total count at which all counts are halved.
const DECAY_TOTAL: u32 = 4_096;
/// Number of samples from which quantiles are known.
const MIN_SAMPLES: u32 = 20;

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            total: 0,
        }
    }
}

impl Histogram {
    /// Records a latency.
    pub fn record(&mut self, time: Duration) {
        self.counts[bucket_of(time)] += 1;
        self.total += 1;
        if self.total >= DECAY_TOTAL {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns a quantile, or `None` while there are fewer than 20 samples.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// let mut times = retry::Histogram::default();
    /// assert_eq!(times.quantile(0.5), None);
    /// (1..=100).for_each(|time| times.record(Duration::from_millis(time)));
    /// let median = times.quantile(0.5).unwrap();
    /// assert!(median >= Duration::from_millis(50) && median < Duration::from_millis(55));
    /// ```
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = f64::from(self.total) * quantile;
        let mut cumulative = 0;
        let at = self.counts.iter().position(|count| {
            cumulative += count;
            f64::from(cumulative) >= rank
        });
        at.map(upper_bound)
    }
}

fn bucket_of(time: Duration) -> usize {
    let micros = time.as_secs_f64() * 1e6;
    let step = micros.max(1.0).log2() * BUCKETS_PER_OCTAVE;
    // The value is between 0 and a few hundred, so that the cast only drops the fraction.
    (step as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let step = u32::try_from(bucket + 1).unwrap_or(u32::MAX);
    Duration::from_secs_f64((f64::from(step) / BUCKETS_PER_OCTAVE).exp2() / 1e6)
}
