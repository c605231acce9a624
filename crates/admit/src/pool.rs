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
    pub places: Option<f64>,
    /// When the pool may be back, if it has no place at all.
    pub retry_after: Duration,
}

impl Pool {
    /// Starts out with no limit known.
    pub const fn new(name: Name) -> Self {
        Self {
            name,
            places: None,
            retry_after: Duration::ZERO,
        }
    }

    /// Tells whether the pool can take nothing at all.
    pub fn is_down(&self) -> bool {
        self.places.is_some_and(|places| places <= 0.0)
    }

    /// Tells whether one more request may start, as far as this pool goes.
    ///
    /// - `load` holds the requests expected to be in the pool, `more` what the request adds.
    /// - `seconds` holds the expected time of its stage.
    pub fn has_room(&self, config: &Config, load: f64, more: f64, seconds: f64) -> bool {
        let Some(places) = self.places else {
            return true;
        };
        places > 0.0 && load + more <= (places * headroom(config, seconds)).max(1.0)
    }

    /// Returns the requests that the pool serves in a second, if that is known.
    ///
    /// By Little's law: the requests that may be in it, divided by the time that each takes.
    pub fn rate(&self, config: &Config, times: &[f64], stage: usize) -> Option<f64> {
        let time = times[stage];
        let places = self.places?;
        (time > 0.0 && places > 0.0).then(|| places * headroom(config, time) / time)
    }
}

/// Returns the requests let through for each place, by the time that the stage takes.
fn headroom(config: &Config, seconds: f64) -> f64 {
    let (least, most) = config.headroom;
    if seconds <= 0.0 {
        return least;
    }
    (1.0 + config.queue.as_secs_f64() / seconds).clamp(least, most)
}
