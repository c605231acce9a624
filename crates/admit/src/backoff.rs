//! Retry times of refused callers.

use core::time::Duration;

use base::Tick;
use rand::RngExt;

use crate::{configs::backoff::Config, event::Context};

/// Maximum random factor by which a retry delay is lengthened.
const MAX_JITTER_FACTOR: f64 = 1.5;

/// Assigns retry times to refused callers at a rate that can be served.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    /// The earliest retry time of the next refused caller.
    next: Tick,
}

impl Backoff {
    /// Returns how long a caller should wait before it retries.
    ///
    /// - At least `wait`.
    /// - Later for each caller refused before it, spaced by a share of `rate`.
    /// - Less than `slack`, even if that is less than `wait`: the time that the caller can wait and still be
    ///   answered if the load ends. A `slack` of at most the minimum delay is ignored.
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
        let retry_at = self.next.max(earliest).min(latest);
        if slack > config.min && (retry_at - cx.now).mul_f64(MAX_JITTER_FACTOR) > slack {
            return slack.mul_f64(cx.rng.random_range(0.4..1.0));
        }
        let gap = rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(1.0 / (rate * config.rate_share).max(1.0))
        });
        self.next = retry_at + gap;
        (retry_at - cx.now).mul_f64(cx.rng.random_range(1.0..MAX_JITTER_FACTOR))
    }
}
