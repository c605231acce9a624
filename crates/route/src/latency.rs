//! Measured service times of a pool, and of each server relative to its pool, without waiting times in queues.

use base::Tick;

use crate::configs::latency::Config;

/// The mean service time of a pool, which quickly follows a stage that slows down as a whole.
#[derive(Clone, Debug)]
pub struct Baseline {
    mean: f64,
    samples: u32,
}

impl Baseline {
    /// Creates a baseline with an assumed service time.
    pub const fn new(config: &Config) -> Self {
        Self {
            mean: config.initial_service_time.as_secs_f64(),
            samples: 0,
        }
    }

    /// Records a sample, in seconds.
    pub fn record(&mut self, config: &Config, seconds: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = config.baseline_weight.max(1.0 / f64::from(self.samples));
        self.mean += weight * (seconds - self.mean);
    }

    /// Returns the mean, in seconds.
    pub const fn mean(&self) -> f64 {
        self.mean
    }
}

/// The mean service time of one server, relative to that of its pool.
#[derive(Clone, Debug, Default)]
pub struct Slowdown {
    mean: f64,
    samples: u32,
    updated: Tick,
}

impl Slowdown {
    /// Records a sample, relative to the mean of the pool.
    pub fn record(&mut self, config: &Config, now: Tick, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = config.sample_weight.max(1.0 / f64::from(self.samples));
        self.mean += weight * (ratio - self.mean);
        self.updated = now;
    }

    /// Returns the mean ratio, or `None` during warm-up.
    pub fn warm_mean(&self, config: &Config) -> Option<f64> {
        (self.samples >= config.warmup_samples).then_some(self.mean)
    }

    /// Returns the expected ratio, which decays to that of an average server while the server is unused.
    pub fn expected(&self, config: &Config, now: Tick) -> f64 {
        if self.samples == 0 {
            return 1.0;
        }
        let idle = (now - self.updated).as_secs_f64() / config.half_life.as_secs_f64();
        1.0 + (self.mean - 1.0) * (-idle).exp2()
    }

    /// Discards all samples.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
