//! Settings of the mesh.

use core::time::Duration;

/// Every setting with its default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The pause between two pulses to an instance.
    pub pulse: Duration,
    /// The pause between two pulses to an instance in a deployment of cells.
    pub cell_pulse: Duration,
    /// Pulses without an answer after which an instance is taken to be gone.
    pub missed: u32,
    /// The pause between pulses to an instance that was lost, in a deployment of cells.
    pub lost_pulse: Duration,
    /// How long after its last use an instance gets pulses, in a deployment of cells.
    pub watch: Duration,
    /// The most instances that all send pulses to each other; a larger deployment is divided into cells.
    pub mesh_most: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            pulse: Duration::from_millis(200),
            cell_pulse: Duration::from_millis(300),
            missed: 3,
            lost_pulse: Duration::from_secs(1),
            watch: Duration::from_secs(3),
            mesh_most: 16,
        }
    }
}
