//! Settings, one structure for each feature.

pub mod backoff;
pub mod estimate;
pub mod limit;
pub mod pool;
pub mod queue;

/// Settings of a [`crate::Controller`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Stage time estimates.
    pub estimate: estimate::Config,
    /// Queue order and limits.
    pub queue: queue::Config,
    /// Requests in flight to one pool.
    pub pool: pool::Config,
    /// Retry times of refused callers.
    pub backoff: backoff::Config,
}
