//! Settings of the queue.

use core::time::Duration;

/// Settings of the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Waiting time after which the priority of a request is raised by one.
    pub aging_interval: Duration,
    /// Number of starts after which one goes to the oldest waiting request, and every other time to the oldest
    /// waiting background request.
    pub oldest_every: u64,
    /// Time between issue and deadline from which a request is a background request, which yields to all
    /// others.
    pub background_deadline: Duration,
    /// Maximum number of waiting requests, not counting background requests.
    pub max_queued: usize,
    /// Maximum number of waiting background requests.
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
