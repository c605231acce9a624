//! Configuration of a planner.

use core::time::Duration;

/// How a planner orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planner {
    /// The most loads that share the weight store at a time.
    pub loads: usize,
    /// Engines without an order under way that are asked at a time what they hold.
    pub polls: usize,
    /// How long after an order an engine is given to show its effect.
    pub settle_limit: Duration,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            loads: 2,
            polls: 2,
            settle_limit: Duration::from_secs(60),
        }
    }
}
