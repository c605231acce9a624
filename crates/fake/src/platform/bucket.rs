//! A token bucket.

use core::time::Duration;
use std::time::Instant;

pub(super) struct Bucket {
    burst: f64,
    filled: Instant,
    level: f64,
    per_second: f64,
}

impl Bucket {
    pub(super) fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        Self {
            burst,
            filled: now,
            level: burst,
            per_second,
        }
    }

    /// Takes one token, or returns how long until the next one.
    pub(super) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let passed = now.duration_since(self.filled).as_secs_f64();
        self.level = (self.level + passed * self.per_second).min(self.burst);
        self.filled = now;
        if self.level < 1.0 {
            let wait = (1.0 - self.level) / self.per_second;
            return Err(Duration::from_secs_f64(wait));
        }
        self.level -= 1.0;
        Ok(())
    }
}
