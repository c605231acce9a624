//! Intervals and timeouts of the roster.

use core::time::Duration;

/// Intervals and timeouts of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// Time between exchanges with other failure domains, and the length of the periods of their summaries.
    pub domain_exchange_interval: Duration,
    /// Peers contacted in each round of exchanges.
    pub fanout: usize,
    /// Time between reads of the platform's list by the reader of the failure domain.
    pub list_interval: Duration,
    /// An instance not heard from for this long holds no role.
    pub peer_timeout: Duration,
    /// How long a leaving mark is kept after any source last mentioned its name.
    pub mark_retention: Duration,
    /// A backend server that is neither listed nor heard from for this long is removed even if the list
    /// omits most of its pool.
    pub partial_list_timeout: Duration,
    /// Time between polls of a backend server by its owner, the first candidate for that role.
    pub poll_interval: Duration,
    /// A load that hardly changed is published again after this long.
    pub load_refresh_interval: Duration,
    /// How long the mark of a leaving incarnation is included in every exchange.
    pub mark_repeat_period: Duration,
    /// Time between rounds of exchanges.
    pub round_interval: Duration,
    /// A backend server that is neither listed nor heard from for this long is removed.
    pub server_timeout: Duration,
    /// The least time between two publications of a changed load.
    pub min_load_interval: Duration,
    /// Time between polls of a backend server by the second candidate for that role.
    pub standby_poll_interval: Duration,
}

impl Default for Roster {
    fn default() -> Self {
        Self {
            domain_exchange_interval: Duration::from_secs(10),
            fanout: 1,
            list_interval: Duration::from_secs(2),
            peer_timeout: Duration::from_secs(8),
            mark_retention: Duration::from_secs(24 * 60 * 60),
            partial_list_timeout: Duration::from_secs(600),
            poll_interval: Duration::from_secs(2),
            load_refresh_interval: Duration::from_secs(10),
            mark_repeat_period: Duration::from_secs(10),
            round_interval: Duration::from_millis(500),
            server_timeout: Duration::from_secs(30),
            min_load_interval: Duration::from_secs(4),
            standby_poll_interval: Duration::from_secs(6),
        }
    }
}
