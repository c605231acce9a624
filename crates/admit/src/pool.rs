//! Requests in flight towards one pool.

use core::time::Duration;

use base::Name;

use crate::configs::pool::Config;

/// A pool as this instance sees it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The name.
    pub name: Name,
    /// This instance's share of the places in the pool's batches; none known yet counts as no limit.
    pub slots: Option<f64>,
    /// When the pool may be back, if it has no place at all.
    pub retry_after: Duration,
}

impl Pool {
    /// Starts out with no limit known.
    pub const fn new(name: Name) -> Self {
        Self {
            name,
            slots: None,
            retry_after: Duration::ZERO,
        }
    }

    /// Tells whether the pool can take nothing at all.
    pub fn is_down(&self) -> bool {
        self.slots.is_some_and(|slots| slots <= 0.0)
    }

    /// Tells whether one more request may start, as far as this pool goes.
    ///
    /// - `load` holds the requests expected to be in the pool, `added` what the request adds.
    /// - `seconds` holds the expected time of its stage.
    pub fn has_room(&self, config: &Config, load: f64, added: f64, seconds: f64) -> bool {
        let Some(slots) = self.slots else {
            return true;
        };
        slots > 0.0 && load + added <= (slots * headroom(config, seconds)).max(1.0)
    }

    /// Returns the requests that the pool serves in a second, if that is known.
    ///
    /// By Little's law: the requests that may be in it, divided by the time that each takes.
    pub fn throughput(&self, config: &Config, times: &[f64], stage: usize) -> Option<f64> {
        let time = times[stage];
        let slots = self.slots?;
        (time > 0.0 && slots > 0.0).then(|| slots * headroom(config, time) / time)
    }
}

/// Returns the requests let through for each place, by the time that the stage takes.
fn headroom(config: &Config, seconds: f64) -> f64 {
    let (min, max) = config.headroom;
    if seconds <= 0.0 {
        return min;
    }
    (1.0 + config.queue_target.as_secs_f64() / seconds).clamp(min, max)
}
