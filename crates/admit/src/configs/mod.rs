//! Settings, one structure for each feature.

pub mod backoff;
pub mod estimate;
pub mod limit;
pub mod pool;
pub mod queue;

/// Every setting of a [`crate::Controller`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Stage times and budgets.
    pub estimate: estimate::Config,
    /// Queue order and bounds.
    pub queue: queue::Config,
    /// Requests in flight towards one pool.
    pub pool: pool::Config,
    /// When refused callers are told to come back.
    pub backoff: backoff::Config,
}
