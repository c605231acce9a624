//! Configuration of a planner.

use core::time::Duration;

/// How a planner orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planner {
    /// The most loads that share the weight store at a time.
    pub max_loads: usize,
    /// Engines without an order under way that are asked at a time what they hold.
    pub max_polls: usize,
    /// How long after an order an engine is given to show its effect.
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
