//! Settings of gathering.

use core::time::Duration;

/// Every setting with its default.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The bytes from which a piece waits for a server in its domain.
    pub min_transfer_bytes: u64,
    /// The slack that a piece keeps when it waits for a server in its domain, in full calls.
    pub slack_calls: u32,
    /// The pause before a server that had no memory for a result is called again.
    pub out_of_memory_pause: Duration,
    /// How long before it is due a piece is planned to be made.
    pub due_margin: Duration,
    /// By how much longer than planned a piece that is late already may wait: what comes meanwhile and can be
    /// on time goes first. One that would miss its deadline then is given up at once.
    pub late_wait_factor: f64,
    /// How often the time of the pool's swiftest server a server's calls may take before it gets trial
    /// calls only.
    pub slow_factor: f64,
    /// The pause between trial calls to a slow server.
    pub trial_interval: Duration,
    /// The share of the newest call in a server's pace.
    pub latency_weight: f64,
    /// The least time in which a server that can't be reached may be back; pieces that have less are given up.
    pub min_recovery_time: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            min_transfer_bytes: 100_000,
            slack_calls: 1,
            out_of_memory_pause: Duration::from_millis(60),
            due_margin: Duration::from_millis(30),
            late_wait_factor: 2.0,
            slow_factor: 2.0,
            trial_interval: Duration::from_secs(1),
            latency_weight: 0.5,
            min_recovery_time: Duration::from_millis(400),
        }
    }
}
