//! The clocks of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use base::{Stamp, Tick};

/// Reads the monotonic and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts the monotonic clock.
    ///
    /// # Examples
    ///
    /// ```
    /// let clock = entry::clock::Clock::start();
    /// assert!(clock.tick() <= clock.tick());
    /// ```
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the monotonic time since the start.
    pub fn tick(&self) -> Tick {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        Tick::from_micros(micros)
    }

    /// Returns the wall-clock time.
    pub fn stamp(&self) -> Stamp {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Stamp::from_millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the monotonic and the wall-clock time, for the ledger.
    pub fn now(&self) -> ledger::Now {
        ledger::Now {
            tick: self.tick(),
            wall: self.stamp(),
        }
    }
}
