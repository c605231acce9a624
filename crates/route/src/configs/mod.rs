//! Settings, one structure for each feature.

pub mod cache;
pub mod choose;
pub mod health;
pub mod latency;
pub mod outage;
pub mod state;

/// Settings of a [`crate::Table`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Prefix cache indexes.
    pub cache: cache::Config,
    /// Selection among candidates.
    pub choose: choose::Config,
    /// Ejection and recovery.
    pub health: health::Config,
    /// Outages of a whole pool.
    pub outage: outage::Config,
    /// Measured service times.
    pub latency: latency::Config,
    /// Load estimate of one server.
    pub state: state::Config,
}
