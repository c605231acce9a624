//! Settings of the batch scheduler.

use core::time::Duration;

/// Settings with their defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The smallest transfer between failure domains, in bytes, for which a piece waits for a server in its preferred
    /// domain.
    pub min_transfer_bytes: u64,
    /// The time before its due time, in full calls, that a piece must have to spare to wait for a server in its
    /// preferred domain.
    pub slack_calls: u32,
    /// The pause before a server that ran out of memory for results is called again.
    pub out_of_memory_pause: Duration,
    /// How long before its due time a piece is planned to finish.
    pub due_margin: Duration,
    /// The factor by which the planned wait of a late piece is stretched, as pieces that arrive meanwhile and can
    /// be on time go first. A piece that would then miss its deadline expires at once.
    pub late_wait_factor: f64,
    /// The multiple of the latency of the pool's fastest server from which a server counts as slow and gets only
    /// trial calls. Servers take 2.5 times as long for moments, and get smaller calls then.
    pub slow_factor: f64,
    /// The multiple of the usual latency of the pool's servers from which a server gets calls with fewer pieces.
    pub uneven_factor: f64,
    /// The pause between trial calls to a slow server.
    pub trial_interval: Duration,
    /// The weight of the newest call in a server's moving average of latency.
    pub latency_weight: f64,
    /// The shortest time in which an unreachable server may recover; pieces with less time left expire.
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
            slow_factor: 3.0,
            uneven_factor: 1.3,
            trial_interval: Duration::from_secs(1),
            latency_weight: 0.5,
            min_recovery_time: Duration::from_millis(400),
        }
    }
}
