//! A token bucket.

use core::time::Duration;
use std::time::Instant;

pub(super) struct Bucket {
    burst: f64,
    refilled_at: Instant,
    tokens: f64,
    per_second: f64,
}

impl Bucket {
    pub(super) fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        Self {
            burst,
            refilled_at: now,
            tokens: burst,
            per_second,
        }
    }

    /// Takes one token, or returns the time until the next one is available.
    pub(super) fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / self.per_second;
            return Err(Duration::from_secs_f64(wait));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
