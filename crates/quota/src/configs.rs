//! Settings of request rates.

use core::time::Duration;

/// Settings with their defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The lowest rate that is metered, in requests a second. A server that states less still gets a request now and then,
    /// whose answer shows the end of the limit.
    pub min_rate: f64,
    /// The time for which unused turns are kept, which lets a short burst pass.
    pub burst: Duration,
    /// How long a statement is passed on to other instances.
    pub share_time: Duration,
    /// How long a statement without a limit is kept, so that an older one that arrives late changes nothing.
    pub memory: Duration,
    /// The largest number of servers whose statements are kept.
    pub max_servers: usize,
    /// The largest number of statements in one heartbeat.
    pub max_shared: usize,
    /// The time in which the rejections of a brittle server are counted.
    pub rejection_window: Duration,
    /// The part of the rejections that a brittle server bears from which on it gets nothing for the window.
    pub rejection_share: f64,
    /// The time after which a brittle server that turned a request away gets one more request at a time.
    pub growth_interval: Duration,
    /// The time after which a brittle server that had no room may have some.
    pub full_retry: Duration,
    /// How long requests count at a brittle server that took no turn, by what instances tell of their load.
    pub brittle_warmup: Duration,
    /// The time without turns after which a meter forgets a server.
    pub idle_timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            min_rate: 0.2,
            burst: Duration::from_millis(250),
            share_time: Duration::from_secs(6),
            memory: Duration::from_secs(15),
            max_servers: 4_096,
            max_shared: 64,
            rejection_window: Duration::from_secs(1),
            rejection_share: 0.5,
            growth_interval: Duration::from_millis(500),
            full_retry: Duration::from_millis(20),
            brittle_warmup: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(60),
        }
    }
}
