//! Measured service time of one server, free of the wait in its queue.

use base::Tick;

use crate::configs::pace::Config;

/// The mean service time of one server.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    mean: f64,
    samples: u32,
    at: Tick,
}

impl Pace {
    /// Takes a sample, in seconds.
    pub fn sample(&mut self, config: &Config, now: Tick, seconds: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = config.weight.max(1.0 / f64::from(self.samples));
        self.mean += weight * (seconds - self.mean);
        self.at = now;
    }

    /// Returns the mean in seconds once enough samples were taken.
    pub fn warm(&self, config: &Config) -> Option<f64> {
        (self.samples >= config.warm_samples).then_some(self.mean)
    }

    /// Returns the expected service time in seconds; a server not used for long counts as
    /// typical of its pool again.
    pub fn expected(&self, config: &Config, now: Tick, typical: f64) -> f64 {
        if self.samples == 0 {
            return typical;
        }
        let idle = (now - self.at).as_secs_f64() / config.half_life.as_secs_f64();
        typical + (self.mean - typical) * (-idle).exp2()
    }

    /// Forgets what was measured.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
