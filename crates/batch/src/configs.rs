//! Settings of gathering.

use core::time::Duration;

/// Every setting with its default.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The bytes from which a piece waits for a server in its domain.
    pub pull: u64,
    /// The slack that a piece keeps when it waits for a server in its domain, in full calls.
    pub slack: u32,
    /// The pause before a server that had no memory for a result is called again.
    pub room: Duration,
    /// How long before it is due a piece is planned to be made.
    pub margin: Duration,
    /// By how much longer than planned a piece that is late already may wait: what comes meanwhile and can be
    /// on time goes first. One that would miss its deadline then is given up at once.
    pub late_stretch: f64,
    /// How often the time of the pool's swiftest server a server's calls may take before it gets trial
    /// calls only.
    pub slow: f64,
    /// The pause between trial calls to a slow server.
    pub trial: Duration,
    /// The share of the newest call in a server's pace.
    pub gain: f64,
    /// The least time in which a server that can't be reached may be back; pieces that have less are given up.
    pub back: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            pull: 100_000,
            slack: 1,
            room: Duration::from_millis(60),
            margin: Duration::from_millis(30),
            late_stretch: 2.0,
            slow: 2.0,
            trial: Duration::from_secs(1),
            gain: 0.5,
            back: Duration::from_millis(400),
        }
    }
}
