//! The momentary figure that a server states of itself, and whether its answers bear it out.

use core::time::Duration;

use base::Tick;

use crate::fleet::decay;

/// The half-life of a stated figure. Servers change their speed for about 600 ms at a time.
const HALF_LIFE: Duration = Duration::from_millis(200);

/// The bounds of the factor that is derived from a stated figure.
const BOUNDS: (f64, f64) = (0.5, 4.0);

/// The deviation of the logarithm from which a figure can be compared with an answer.
const MIN_DEVIATION: f64 = 0.1;

/// The weight of the newest comparison.
const WEIGHT: f64 = 0.2;

/// How long work takes at a server now, as it states itself, relative to its usual time.
#[derive(Clone, Copy, Debug)]
pub struct Momentary {
    factor: f64,
    stated_at: Tick,
    /// By how much the figures brought the expected times closer to the measured ones, as a moving average of logarithms.
    benefit: f64,
}

impl Default for Momentary {
    fn default() -> Self {
        Self {
            factor: 1.0,
            stated_at: Tick::default(),
            // A server is believed until an answer contradicts it.
            benefit: 0.05,
        }
    }
}

impl Momentary {
    /// Records the figure of an answer, in percent of the usual time.
    pub fn record(&mut self, now: Tick, percent: u32) {
        // A figure of 0 is no time.
        if percent > 0 {
            self.factor = (f64::from(percent) / 100.0).clamp(BOUNDS.0, BOUNDS.1);
            self.stated_at = now;
        }
    }

    /// Returns the factor by which work takes longer now than usual at this server; 1 if nothing recent is known or if
    /// earlier figures were wrong.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use pick::speed::Momentary;
    /// let mut momentary = Momentary::default();
    /// momentary.record(Tick::from_millis(500), 250);
    /// assert_eq!(momentary.factor(Tick::from_millis(500)), 2.5);
    /// assert_eq!(momentary.factor(Tick::from_millis(700)), 1.75);
    /// ```
    pub fn factor(&self, now: Tick) -> f64 {
        if self.benefit > 0.0 {
            self.stated(now)
        } else {
            1.0
        }
    }

    /// Compares the newest figure with an answer that just arrived. `ratio` is its time relative to the time expected
    /// without the figure. Returns the ratio with the effect of the figure removed, if the figure is believed.
    pub fn compare(&mut self, now: Tick, ratio: f64) -> f64 {
        let deviation = self.stated(now).ln();
        let measured = ratio.max(1e-3).ln();
        if deviation.abs() > MIN_DEVIATION {
            let benefit = measured.abs() - (measured - deviation).abs();
            self.benefit += WEIGHT * (benefit.clamp(-1.0, 1.0) - self.benefit);
        }
        ratio / self.factor(now)
    }

    fn stated(&self, now: Tick) -> f64 {
        1.0 + (self.factor - 1.0) * decay(now - self.stated_at, HALF_LIFE)
    }
}
