//! Settings of membership and heartbeats.

use core::time::Duration;

/// Settings with their defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The interval between heartbeats to an instance.
    pub heartbeat_interval: Duration,
    /// The interval between heartbeats to an instance in a deployment of cells.
    pub cell_heartbeat_interval: Duration,
    /// The unanswered heartbeats after which an instance counts as lost.
    pub max_missed_heartbeats: u32,
    /// The interval between heartbeats to a lost instance in a deployment of cells.
    pub lost_heartbeat_interval: Duration,
    /// How long an instance gets heartbeats after its last use, in a deployment of cells.
    pub monitoring_period: Duration,
    /// The largest number of instances that all send heartbeats to each other; a larger deployment is divided into cells.
    pub full_mesh_limit: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(200),
            cell_heartbeat_interval: Duration::from_millis(300),
            max_missed_heartbeats: 3,
            lost_heartbeat_interval: Duration::from_secs(1),
            monitoring_period: Duration::from_secs(3),
            full_mesh_limit: 16,
        }
    }
}
