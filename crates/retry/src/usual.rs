//! What usually happens: quantiles of recent times.

use core::time::Duration;

/// Counts of times in buckets an eighth of an octave wide; older ones fade.
///
/// A quantile is told to within 9 in 100, above the true value rather than below.
#[derive(Clone, Debug)]
pub struct Usual {
    counts: Vec<u32>,
    total: u32,
}

/// Buckets in one octave.
const STEPS: f64 = 8.0;
/// Buckets kept, from a microsecond to more than a day.
const BUCKETS: usize = 37 * 8;
/// Counts are halved at this total.
const FADE: u32 = 4_096;
/// Below this total nothing is usual yet.
const ENOUGH: u32 = 20;

impl Default for Usual {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            total: 0,
        }
    }
}

impl Usual {
    /// Counts a time.
    pub fn add(&mut self, time: Duration) {
        self.counts[bucket(time)] += 1;
        self.total += 1;
        if self.total >= FADE {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns a quantile, or none while fewer than 20 times are known.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// let mut usual = retry::Usual::default();
    /// assert_eq!(usual.quantile(0.5), None);
    /// (1..=100).for_each(|time| usual.add(Duration::from_millis(time)));
    /// let median = usual.quantile(0.5).unwrap();
    /// assert!(median >= Duration::from_millis(50) && median < Duration::from_millis(55));
    /// ```
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        if self.total < ENOUGH {
            return None;
        }
        let rank = f64::from(self.total) * share;
        let mut below = 0;
        let at = self.counts.iter().position(|count| {
            below += count;
            f64::from(below) >= rank
        });
        at.map(top)
    }
}

fn bucket(time: Duration) -> usize {
    let micros = time.as_secs_f64() * 1e6;
    let step = micros.max(1.0).log2() * STEPS;
    // The value lies between 0 and a few hundred.
    (step as usize).min(BUCKETS - 1)
}

fn top(bucket: usize) -> Duration {
    let step = u32::try_from(bucket + 1).unwrap_or(u32::MAX);
    Duration::from_secs_f64((f64::from(step) / STEPS).exp2() / 1e6)
}
