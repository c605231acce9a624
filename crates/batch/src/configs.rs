//! Settings of gathering.

use core::time::Duration;

/// Every setting with its default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long a piece waits for a server in the domain where its result is needed.
    pub stay: Duration,
    /// The size from which a result is kept in its domain, in bytes.
    pub heavy: u64,
    /// Calls of one instance under way at one server.
    pub calls: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            stay: Duration::from_millis(120),
            heavy: 500_000,
            calls: 1,
        }
    }
}
