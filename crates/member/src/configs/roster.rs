//! Periods and bounds of the roster.

use core::time::Duration;

/// How often the roster acts and how long it waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// Time between exchanges with other failure domains, and between the summaries that are exchanged.
    pub bridge: Duration,
    /// Peers asked in each round of exchanges.
    pub fanout: usize,
    /// Time between reads of the platform's list by the instance that holds that role.
    pub list: Duration,
    /// An instance unheard for this long holds no role.
    pub lost: Duration,
    /// How long an unnamed leaving mark is kept.
    pub mark: Duration,
    /// A backend server that is neither listed nor heard for this long is removed, also where the list
    /// omits most of its pool.
    pub patience: Duration,
    /// Time between polls of a backend server by the instance that holds that role.
    pub poll: Duration,
    /// A load that hardly changed is told again after this long.
    pub refresh: Duration,
    /// How long news of a leaving incarnation goes with every exchange.
    pub repeat: Duration,
    /// Time between rounds of exchanges.
    pub round: Duration,
    /// A backend server that is neither listed nor heard for this long is removed.
    pub silence: Duration,
    /// A load that moved is told again no sooner than this.
    pub spacing: Duration,
    /// Time between polls of a backend server by the second candidate for that role.
    pub standby: Duration,
}

impl Default for Roster {
    fn default() -> Self {
        Self {
            bridge: Duration::from_secs(10),
            fanout: 1,
            list: Duration::from_secs(2),
            lost: Duration::from_secs(8),
            mark: Duration::from_secs(24 * 60 * 60),
            patience: Duration::from_secs(600),
            poll: Duration::from_secs(2),
            refresh: Duration::from_secs(10),
            repeat: Duration::from_secs(10),
            round: Duration::from_millis(500),
            silence: Duration::from_secs(30),
            spacing: Duration::from_secs(4),
            standby: Duration::from_secs(6),
        }
    }
}
