//! Settings, one structure for each feature.

pub mod budget;
pub mod gate;
pub mod limit;
pub mod pool;
pub mod returns;

/// Every setting of a [`crate::Gate`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Stage times and budgets.
    pub budget: budget::Config,
    /// Queue order and bounds.
    pub gate: gate::Config,
    /// Requests in flight towards one pool.
    pub pool: pool::Config,
    /// When refused callers are told to come back.
    pub returns: returns::Config,
}
