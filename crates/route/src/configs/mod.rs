//! Settings, one structure for each feature.

pub mod cache;
pub mod choose;
pub mod health;
pub mod latency;
pub mod outage;
pub mod state;

/// Every setting of a [`crate::Table`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Prefix indexes.
    pub cache: cache::Config,
    /// The choice among candidates.
    pub choose: choose::Config,
    /// Ejection and return.
    pub health: health::Config,
    /// Outages of a whole pool.
    pub outage: outage::Config,
    /// Measured service times.
    pub latency: latency::Config,
    /// Load of one server.
    pub state: state::Config,
}
