//! Settings of the mesh.

use core::time::Duration;

/// Every setting with its default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The pause between two pulses to an instance.
    pub heartbeat_interval: Duration,
    /// The pause between two pulses to an instance in a deployment of cells.
    pub cell_heartbeat_interval: Duration,
    /// Pulses without an answer after which an instance is taken to be gone.
    pub max_missed_heartbeats: u32,
    /// The pause between pulses to an instance that was lost, in a deployment of cells.
    pub lost_heartbeat_interval: Duration,
    /// How long after its last use an instance gets pulses, in a deployment of cells.
    pub monitoring_period: Duration,
    /// The most instances that all send pulses to each other; a larger deployment is divided into cells.
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
