//! Configuration of a planner.

use core::time::Duration;

/// Limits of a planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planner {
    /// Maximum number of loads that use the weight store at a time.
    pub max_loads: usize,
    /// Maximum number of engines without a pending order that are polled at a time.
    pub max_polls: usize,
    /// Time after an order in which its effect must become visible on the engine.
    pub effect_timeout: Duration,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            max_loads: 2,
            max_polls: 2,
            effect_timeout: Duration::from_secs(60),
        }
    }
}
