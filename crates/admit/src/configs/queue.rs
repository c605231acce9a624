//! Settings of the queue.

use core::time::Duration;

/// Settings of the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Wait after which a request counts as one priority higher.
    pub aging_interval: Duration,
    /// One in so many starts goes to the oldest request that waits; every other time, to the
    /// oldest patient one.
    pub oldest_every: u64,
    /// Time between issue and deadline from which a request gives way to all others.
    pub background_deadline: Duration,
    /// Requests that may wait, patient ones aside.
    pub max_queued: usize,
    /// Patient requests that may wait.
    pub max_background: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            aging_interval: Duration::from_secs(2),
            oldest_every: 20,
            background_deadline: Duration::from_secs(3_600),
            max_queued: 1_000,
            max_background: 10_000,
        }
    }
}
