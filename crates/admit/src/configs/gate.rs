//! Settings of the queue.

use core::time::Duration;

/// Settings of the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Wait after which a request counts as one priority higher.
    pub aging: Duration,
    /// One in so many starts goes to the oldest request that waits; every other time, to the
    /// oldest patient one.
    pub oldest_every: u64,
    /// Time between issue and deadline from which a request gives way to all others.
    pub patient: Duration,
    /// Requests that may wait, patient ones aside.
    pub queue: usize,
    /// Patient requests that may wait.
    pub patient_queue: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            aging: Duration::from_secs(2),
            oldest_every: 20,
            patient: Duration::from_secs(3_600),
            queue: 1_000,
            patient_queue: 10_000,
        }
    }
}
