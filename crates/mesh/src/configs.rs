//! Settings of the mesh.

use core::time::Duration;

/// Every setting with its default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The shortest pause between two pulses to an instance.
    pub pulse: Duration,
    /// What each instance adds to that pause, so that pulses cost the same at every size.
    pub pulse_each: Duration,
    /// Pulses without an answer after which an instance is taken to be gone.
    pub missed: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            pulse: Duration::from_millis(200),
            pulse_each: Duration::from_millis(10),
            missed: 3,
        }
    }
}
