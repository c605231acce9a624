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

/// Settings of cold servers with their defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Cold {
    /// The time in which the requests at a cold server are counted.
    pub window: Duration,
    /// How late a granted turn may be used.
    pub max_delay: Duration,
    /// By how much the ways of two requests to their server may differ.
    pub max_transit: Duration,
    /// The time for which the first in rank keeps unused turns. Without it half of the turns of a server are lost whose
    /// requests come at random times.
    pub burst: Duration,
    /// The shortest time between the writing of an entry and its arrival.
    pub min_entry_age: Duration,
    /// The longest such time: the store's delay of 0.8 s, the pause between two reads and the heartbeat that passes it on.
    pub max_entry_age: Duration,
    /// How long a server must not have answered this instance for an event that another one reports to count.
    pub min_away: Duration,
    /// How long a server counts as cold after an event if no entry arrives.
    pub max_event_time: Duration,
    /// The time after the end of the cold time in which the rate grows.
    pub ramp: Duration,
    /// The time in which the rate doubles.
    pub doubling: Duration,
    /// The age up to which a process grants no more than a lower rank, as its list of instances may lack some.
    pub settling: Duration,
    /// The longest time that turns are granted ahead; shorter than the settling time.
    pub max_wait: Duration,
    /// The same while the rate grows.
    pub max_ramp_wait: Duration,
    /// When an instance may ask again if the one that it asked may grant nothing.
    pub unknown_retry: Duration,
    /// The number of denied questions for each turn from which on instances are told to ask later.
    pub questions_per_turn: f64,
    /// The longest time that an instance is told to wait because many ask.
    pub max_retry: Duration,
    /// The interval at which denied turns at a server are logged.
    pub log_interval: Duration,
    /// The largest number of servers in one heartbeat.
    pub max_shared: usize,
    /// The time after which a server is forgotten that nothing was heard of.
    pub idle_timeout: Duration,
}

impl Default for Cold {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(1),
            max_delay: Duration::from_millis(250),
            max_transit: Duration::from_millis(50),
            burst: Duration::from_millis(40),
            min_entry_age: Duration::from_millis(800),
            max_entry_age: Duration::from_secs(2),
            min_away: Duration::from_secs(1),
            max_event_time: Duration::from_secs(15),
            ramp: Duration::from_millis(1_200),
            doubling: Duration::from_millis(300),
            settling: Duration::from_secs(4),
            max_wait: Duration::from_secs(2),
            max_ramp_wait: Duration::from_millis(100),
            unknown_retry: Duration::from_millis(500),
            questions_per_turn: 3.0,
            max_retry: Duration::from_secs(1),
            log_interval: Duration::from_secs(2),
            max_shared: 32,
            idle_timeout: Duration::from_secs(60),
        }
    }
}
