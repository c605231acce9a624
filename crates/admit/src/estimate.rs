//! Estimates of stage times and of the time that a pipeline requires.

use core::time::Duration;

use base::{Name, Tick};

use crate::configs::estimate::Config;

/// Number of first samples that all have equal weight.
const WARMUP_SAMPLES: u32 = 50;

/// Moving averages of a measured value and of its deviation, in seconds or relative to a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Estimate {
    /// Creates an estimate with an assumed mean, which the first sample replaces.
    pub const fn new(mean: f64) -> Self {
        Self {
            mean,
            deviation: 0.0,
            samples: 0,
        }
    }

    /// Records a sample.
    pub fn record(&mut self, weight: f64, value: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = if self.samples <= WARMUP_SAMPLES {
            weight.max(1.0 / f64::from(self.samples))
        } else {
            weight
        };
        let error = value - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
    }

    /// Records a time relative to its baseline. While the mean is far above one, a sample far below the
    /// mean indicates that the pool has recovered, so it gets a higher weight, and the deviation
    /// shrinks with the mean.
    ///
    /// # Examples
    ///
    /// ```
    /// use admit::{configs::estimate::Config, estimate::Estimate};
    /// let config = Config::default();
    /// let mut time = Estimate::default();
    /// for slowdown in [4.0, 4.0, 4.0, 0.9, 0.9] {
    ///     time.record_slowdown(&config, slowdown);
    /// }
    /// assert!(time.mean() < 2.0);
    /// ```
    pub fn record_slowdown(&mut self, config: &Config, slowdown: f64) {
        if self.mean < config.slow_ratio || slowdown >= config.recovery_ratio * self.mean {
            return self.record(config.sample_weight, slowdown);
        }
        self.samples = self.samples.saturating_add(1);
        let before = self.mean;
        self.mean += config.recovery_weight * (slowdown - self.mean);
        self.deviation *= self.mean / before;
    }

    /// Returns the mean.
    pub const fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the safety margin above the mean.
    pub fn margin(&self, config: &Config) -> f64 {
        config.margin_deviations * self.deviation
    }
}

/// A stage of a pipeline.
#[derive(Clone, Debug)]
pub struct Stage {
    /// The pool that serves it.
    pub pool: Name,
    /// Its long-term stage time, in seconds.
    pub baseline: Estimate,
    /// Recent stage times at its pool, each relative to the baseline of its stage.
    pub slowdown: Estimate,
    /// Number of running requests that have not passed the stage yet.
    pub pending: usize,
    /// Time of the last sample from its pool.
    measured: Tick,
}

impl Stage {
    /// Returns the expected stage time, in seconds. Without new samples it returns to the baseline, so that
    /// a stage considered slow is tried again.
    pub fn mean(&self, config: &Config, now: Tick) -> f64 {
        let slowdown = 1.0 + (self.slowdown.mean() - 1.0) * self.confidence(config, now);
        self.baseline.mean() * slowdown
    }

    /// Returns the safety margin above the expected stage time, in seconds.
    fn margin(&self, config: &Config, now: Tick) -> f64 {
        let baseline = self.baseline.margin(config);
        let recent = self.baseline.mean() * self.slowdown.margin(config);
        baseline + (recent - baseline) * self.confidence(config, now)
    }

    /// Returns the weight of the recent stage times, from 0 to 1.
    fn confidence(&self, config: &Config, now: Tick) -> f64 {
        let idle = (now - self.measured).as_secs_f64() / config.half_life.as_secs_f64();
        (-idle).exp2()
    }
}

/// A pipeline.
#[derive(Clone, Debug)]
pub struct Pipeline {
    /// The name.
    pub name: Name,
    /// Its stages, in order.
    pub stages: Vec<Stage>,
    /// The estimated cost of one request.
    pub cost: Estimate,
}

impl Pipeline {
    /// Creates a pipeline without samples.
    pub fn new(name: Name, pools: &[Name]) -> Self {
        let stage = |pool: &Name| Stage {
            pool: pool.clone(),
            baseline: Estimate::default(),
            slowdown: Estimate::new(1.0),
            pending: 0,
            measured: Tick::default(),
        };
        Self {
            name,
            stages: pools.iter().map(stage).collect(),
            cost: Estimate::default(),
        }
    }

    /// Sets the pools of its stages; a stage with an unchanged pool keeps its estimates.
    pub fn set_pools(&mut self, pools: &[Name]) {
        let mut updated = Self::new(self.name.clone(), pools);
        for (new, old) in updated.stages.iter_mut().zip(&self.stages) {
            if new.pool == old.pool {
                new.baseline = old.baseline;
                new.slowdown = old.slowdown;
                new.pending = old.pending;
                new.measured = old.measured;
            }
        }
        self.stages = updated.stages;
    }

    /// Returns the estimated time for the stages from the given one on, including the safety margin.
    ///
    /// # Examples
    ///
    /// ```
    /// use admit::{configs::estimate::Config, estimate::Pipeline};
    /// use base::Tick;
    /// use core::time::Duration;
    ///
    /// let mut pipeline = Pipeline::new("draft".into(), &["encoders".into(), "runners".into()]);
    /// let now = Tick::from_millis(300);
    /// let config = Config::default();
    /// let slowdown = pipeline.record_stage_time(&config, 1, Duration::from_millis(300));
    /// assert_eq!(slowdown, Some(1.0));
    /// assert!(pipeline.required_time(&Config::default(), now, 0) >= Duration::from_millis(300));
    /// ```
    pub fn required_time(&self, config: &Config, now: Tick, from: usize) -> Duration {
        let stages = self.stages.iter().skip(from);
        let mean: f64 = stages.clone().map(|stage| stage.mean(config, now)).sum();
        let margin: f64 = stages
            .map(|stage| stage.margin(config, now))
            .map(|margin| margin * margin)
            .sum();
        Duration::from_secs_f64(mean + margin.sqrt())
    }

    /// Returns the expected time of each stage, in seconds.
    pub fn stage_times(&self, config: &Config, now: Tick) -> Vec<f64> {
        let mean = |stage: &Stage| stage.mean(config, now);
        self.stages.iter().map(mean).collect()
    }

    /// Returns the long-term time of the whole pipeline.
    pub fn baseline(&self) -> Duration {
        Duration::from_secs_f64(self.stages.iter().map(|stage| stage.baseline.mean()).sum())
    }

    /// Records a measured stage time and returns it relative to the baseline.
    pub fn record_stage_time(
        &mut self,
        config: &Config,
        stage: usize,
        elapsed: Duration,
    ) -> Option<f64> {
        let baseline = &mut self.stages.get_mut(stage)?.baseline;
        baseline.record(config.baseline_weight, elapsed.as_secs_f64());
        (baseline.mean() > 0.0).then(|| elapsed.as_secs_f64() / baseline.mean())
    }

    /// Records a stage time measured at a pool by any pipeline, relative to its baseline.
    pub fn record_slowdown(&mut self, config: &Config, now: Tick, pool: &Name, slowdown: f64) {
        for stage in self.stages.iter_mut().filter(|stage| stage.pool == *pool) {
            stage.measured = now;
            stage.slowdown.record_slowdown(config, slowdown);
        }
    }
}

/// Returns the share of its time up to the end of a stage that a request spends in that stage.
///
/// By Little's law, this share of the requests that have not passed the stage is in it.
///
/// # Examples
///
/// ```
/// assert_eq!(admit::estimate::occupancy(&[0.3, 0.1], 1), 0.25);
/// ```
pub fn occupancy(times: &[f64], stage: usize) -> f64 {
    let total: f64 = times[..=stage].iter().sum();
    if total > 0.0 {
        times[stage] / total
    } else {
        1.0 / (stage + 1) as f64
    }
}
