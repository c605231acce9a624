//! The time that one server takes relative to its pool.

use core::time::Duration;

use base::Tick;

use crate::fleet::decay;

/// The half-life of the evidence, so that a server that changed for good is judged anew.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// The largest weight of own answers, so that newer ones keep counting.
const MAX_WEIGHT: f64 = 30.0;

/// The weight of the assumption that a server is as fast as its pool.
const PRIOR_WEIGHT: f64 = 4.0;

/// The variance of the logarithm of one answer's ratio before it is known; 15% of the answers take 2.5 times as long.
const PRIOR_VARIANCE: f64 = 0.12;

/// The bound of the logarithm of a ratio.
const BOUND: f64 = 1.4;

/// A moving average of the logarithms of ratios, with the evidence for it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ratio {
    mean: f64,
    weight: f64,
    updated_at: Tick,
    /// The average squared deviation times its weight.
    squares: f64,
    /// What other instances told.
    told: f64,
    told_weight: f64,
    told_at: Tick,
}

impl Ratio {
    /// Records the ratio of an answer.
    pub(super) fn record(&mut self, now: Tick, ratio: f64) {
        let sample = ratio.max(1e-3).ln().clamp(-2.0 * BOUND, 2.0 * BOUND);
        let decay = decay(now - self.updated_at, HALF_LIFE);
        self.weight = (self.weight * decay + 1.0).min(MAX_WEIGHT);
        let deviation = sample - self.mean;
        self.mean += deviation / self.weight;
        let kept = decay.min(1.0 - 1.0 / MAX_WEIGHT);
        self.squares = self.squares * kept + deviation * (sample - self.mean);
        self.updated_at = now;
    }

    /// Records what another instance told. Weights are not added up, as both may rest on the same answers.
    pub(super) fn record_told(&mut self, now: Tick, ratio: f64, weight: f64) {
        let ratio = ratio.max(1e-3).ln().clamp(-BOUND, BOUND);
        let weight = weight.clamp(0.0, MAX_WEIGHT);
        let known = self.told_weight(now);
        if known + weight > 0.0 {
            self.told = (self.told * known + ratio * weight) / (known + weight);
        }
        self.told_weight = known.max(weight);
        self.told_at = now;
    }

    /// Returns the ratio, which is 1 unless the evidence shows another one. `running` holds the ratios that calls in
    /// flight have already reached.
    pub(super) fn get(&self, now: Tick, running: impl Iterator<Item = f64>) -> f64 {
        let own = self.own_weight(now);
        let told = self.told_weight(now);
        let (mut mean, mut weight) = (self.mean * own + self.told * told, own + told);
        let variance = self.variance();
        // A call in flight shows something once it takes longer than most finished ones.
        let usual = if weight > 0.0 { mean / weight } else { 0.0 } + variance.sqrt();
        for ratio in running {
            let bound = ratio.max(1e-3).ln().min(BOUND);
            if bound > usual.max(0.0) {
                mean += bound;
                weight += 1.0;
            }
        }
        if weight <= 0.0 {
            return 1.0;
        }
        let error = (variance / weight).sqrt();
        let shrunk = mean / (weight + PRIOR_WEIGHT);
        // What lies within the standard error is no evidence; what lies beyond twice the error counts in full.
        let excess = shrunk.abs() - error;
        let shown = (2.0 * excess.max(0.0)).min(shrunk.abs()).copysign(shrunk);
        if shown == 0.0 {
            return 1.0;
        }
        shown.clamp(-BOUND, BOUND).exp()
    }

    /// Returns the mean ratio and its weight as told to other instances. What was told here weighs less there, so that
    /// it dies out.
    pub(super) fn summary(&self, now: Tick) -> (f64, f64) {
        let (own, told) = (self.own_weight(now), self.told_weight(now));
        let weight = own + told;
        if weight <= 0.0 {
            return (1.0, 0.0);
        }
        let mean = (self.mean * own + self.told * told) / weight;
        (mean.clamp(-BOUND, BOUND).exp(), own.max(0.8 * told))
    }

    /// Returns the standard error of the logarithm of the mean ratio.
    pub(super) fn error(&self, now: Tick) -> f64 {
        let weight = self.own_weight(now) + self.told_weight(now);
        (self.variance() / weight.max(1.0)).sqrt()
    }

    fn variance(&self) -> f64 {
        (self.squares + PRIOR_VARIANCE * PRIOR_WEIGHT) / (self.weight + PRIOR_WEIGHT)
    }

    fn own_weight(&self, now: Tick) -> f64 {
        self.weight * decay(now - self.updated_at, HALF_LIFE)
    }

    fn told_weight(&self, now: Tick) -> f64 {
        self.told_weight * decay(now - self.told_at, HALF_LIFE)
    }
}
