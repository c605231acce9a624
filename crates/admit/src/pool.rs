//! Requests in flight to one pool.

use core::time::Duration;

use base::Name;

use crate::configs::pool::Config;

/// The capacity of a pool from the view of this instance.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The name.
    pub name: Name,
    /// This instance's share of the pool's batch slots; there is no limit while it is unknown.
    pub slots: Option<f64>,
    /// Time until the pool may be available again, if it has no slot.
    pub retry_after: Duration,
}

impl Pool {
    /// Creates a pool without a known limit.
    pub const fn new(name: Name) -> Self {
        Self {
            name,
            slots: None,
            retry_after: Duration::ZERO,
        }
    }

    /// Returns whether the pool has no capacity.
    pub fn is_down(&self) -> bool {
        self.slots.is_some_and(|slots| slots <= 0.0)
    }

    /// Returns whether this pool has capacity for one more request.
    ///
    /// - `load` is the expected number of requests in the pool, and `added` what the request adds to it.
    /// - `seconds` is the expected time of the stage.
    pub fn has_room(&self, config: &Config, load: f64, added: f64, seconds: f64) -> bool {
        let Some(slots) = self.slots else {
            return true;
        };
        slots > 0.0 && load + added <= (slots * headroom(config, seconds)).max(1.0)
    }

    /// Returns the throughput of the pool in requests per second, if it is known.
    ///
    /// By Little's law it is the number of requests in the pool divided by the time that each takes. `times`
    /// holds the expected time of each stage, in seconds.
    pub fn throughput(&self, config: &Config, times: &[f64], stage: usize) -> Option<f64> {
        let time = times[stage];
        let slots = self.slots?;
        (time > 0.0 && slots > 0.0).then(|| slots * headroom(config, time) / time)
    }
}

/// Returns the number of admitted requests per slot, depending on the stage time.
fn headroom(config: &Config, seconds: f64) -> f64 {
    let (min, max) = config.headroom;
    if seconds <= 0.0 {
        return min;
    }
    (1.0 + config.queue_target.as_secs_f64() / seconds).clamp(min, max)
}
