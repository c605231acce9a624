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
    /// The smallest and largest factor by which the planned wait of a late piece is stretched, as pieces that arrive
    /// meanwhile and can be on time go first. A piece that would then miss its deadline expires at once.
    pub late_wait_factors: (f64, f64),
    /// The time over which the part of the capacity is averaged that pieces on time take.
    pub share_memory: Duration,
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
    /// How long a computed backlog is used; a plan changes little in this time, and it may be asked for with each
    /// request.
    pub backlog_interval: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            min_transfer_bytes: 100_000,
            slack_calls: 1,
            out_of_memory_pause: Duration::from_millis(60),
            due_margin: Duration::from_millis(30),
            late_wait_factors: (2.0, 5.0),
            share_memory: Duration::from_secs(1),
            slow_factor: 3.0,
            uneven_factor: 1.3,
            trial_interval: Duration::from_secs(1),
            latency_weight: 0.5,
            min_recovery_time: Duration::from_millis(400),
            backlog_interval: Duration::from_millis(50),
        }
    }
}

impl Config {
    /// Returns the factor by which the planned wait of a late piece is stretched if pieces on time take some part of the
    /// capacity.
    ///
    /// # Examples
    ///
    /// ```
    /// let config = batch::configs::Config::default();
    /// assert_eq!(config.late_wait_factor(0.0), 2.0);
    /// assert_eq!(config.late_wait_factor(0.75), 4.0);
    /// assert_eq!(config.late_wait_factor(1.0), 5.0);
    /// ```
    pub fn late_wait_factor(&self, on_time_share: f64) -> f64 {
        let (min, max) = self.late_wait_factors;
        (1.0 / (1.0 - on_time_share).max(1.0 / max)).max(min)
    }
}
