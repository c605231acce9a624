//! Retry times of refused callers.

use core::time::Duration;

use base::Tick;
use rand::RngExt;

use crate::{configs::backoff::Config, event::Context};

/// Maximum factor by which a retry delay is lengthened at random.
const SPREAD: f64 = 1.5;

/// Assigns retry times to refused callers at a rate that can be served.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    next: Tick,
}

impl Backoff {
    /// Returns how long a caller should wait before it retries.
    ///
    /// - At least `wait`.
    /// - Later for each caller refused before it, spaced by a share of `rate`.
    /// - Within `slack`, if it is not zero: the time that the caller can wait and still be answered if the
    ///   load ends.
    /// - Randomized, so that callers don't retry at the same time.
    pub fn delay(
        &mut self,
        config: &Config,
        cx: &mut Context<'_>,
        wait: Duration,
        rate: Option<f64>,
        slack: Duration,
    ) -> Duration {
        let earliest = cx.now + wait.max(config.min);
        let latest = cx.now + config.max;
        let at = self.next.max(earliest).min(latest);
        if slack > config.min && (at - cx.now).mul_f64(SPREAD) > slack {
            return slack.mul_f64(cx.rng.random_range(0.4..1.0));
        }
        let gap = rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(1.0 / (rate * config.rate_share).max(1.0))
        });
        self.next = at + gap;
        (at - cx.now).mul_f64(cx.rng.random_range(1.0..SPREAD))
    }
}
