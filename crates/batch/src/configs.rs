//! Settings of gathering.

use core::time::Duration;

/// Every setting with its default.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The size from which a result counts against its maker's memory, in bytes.
    pub heavy: u64,
    /// The bytes from which a piece waits for a server in its domain.
    pub pull: u64,
    /// The slack that a piece keeps when it waits for a server in its domain, in full calls.
    pub slack: u32,
    /// How long a result is taken to lie at its maker at first; the range within which this is learnt from
    /// calls that run out of memory and calls that don't.
    pub lies: Duration,
    /// The least and the most of it.
    pub lies_range: (Duration, Duration),
    /// What a call that ran out of memory adds to it.
    pub lies_more: Duration,
    /// What a call that did not takes off it.
    pub lies_less: Duration,
    /// How often its expected time a server's calls may take before it gets trial calls only.
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
            heavy: 500_000,
            pull: 100_000,
            slack: 1,
            lies: Duration::from_millis(400),
            lies_range: (Duration::from_millis(200), Duration::from_millis(1_000)),
            lies_more: Duration::from_millis(60),
            lies_less: Duration::from_millis(4),
            slow: 2.0,
            trial: Duration::from_secs(1),
            gain: 0.5,
            back: Duration::from_millis(400),
        }
    }
}
