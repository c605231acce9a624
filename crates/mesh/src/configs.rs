//! Settings of membership, heartbeats and the reading of the store.

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
    /// How long an instance that was removed keeps its rank among those that grant turns at cold servers.
    pub rank_memory: Duration,
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
            rank_memory: Duration::from_secs(4),
        }
    }
}

/// Settings of the reading of the store in a deployment of cells, with their defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reader {
    /// The number of instances of a failure domain that may read the store for it, lost ones included.
    pub candidates: usize,
    /// The age of a read from which other instances don't rely on it: the wait of one read, the pause between two, and
    /// the time that an answer may take.
    pub max_age: Duration,
    /// The failed reads in a row after which a reader follows a successor.
    pub max_failures: u32,
    /// How much later than other instances the local one may find that the store answers again after an outage: a read
    /// that gets no answer, and the pause after it.
    pub max_recovery_lag: Duration,
    /// The longest time between two reads of other instances that a store which serves them leaves: the age of a read and
    /// the time until it is told.
    pub max_read_gap: Duration,
    /// The time over which instances that no candidate answers start to read the store themselves.
    pub max_alone_delay: Duration,
    /// The number of instances of a failure domain from which the two delays below are stretched by their number.
    pub probing_instances: usize,
    /// The time over which the first attempts of the other instances are spread if no candidate reads the store.
    pub min_probe_delay: Duration,
    /// The average time between later attempts of an instance, which is doubled up to this after each one.
    pub max_probe_delay: Duration,
}

impl Default for Reader {
    fn default() -> Self {
        Self {
            candidates: 3,
            max_age: Duration::from_millis(1_900),
            max_failures: 2,
            max_recovery_lag: Duration::from_millis(1_200),
            max_read_gap: Duration::from_millis(2_900),
            max_alone_delay: Duration::from_millis(800),
            probing_instances: 16,
            min_probe_delay: Duration::from_secs(3),
            max_probe_delay: Duration::from_secs(16),
        }
    }
}
