//! The demand for models, from this instance's own counters.

use core::time::Duration;

use base::{Name, Tick};
use bundle::{
    Bundle,
    content::{Pipeline, Pool},
};
use place::plan::Model;

use crate::metrics::Metrics;

/// The time constant of the moving average of demand.
const AVERAGING_TIME: Duration = Duration::from_secs(60);

/// The assumed time of a stage that has no measurement yet.
const DEFAULT_STAGE_SECONDS: f64 = 1.0;

/// The request rate of each pipeline at this instance.
pub(super) struct Demand {
    measured_at: Tick,
    /// Sorted by pipeline.
    rates: Vec<Rate>,
}

struct Rate {
    pipeline: Name,
    count: u64,
    per_second: f64,
}

impl Demand {
    pub(super) const fn new(now: Tick) -> Self {
        Self {
            measured_at: now,
            rates: Vec::new(),
        }
    }

    /// Updates the rates of the pipelines that use models from their counters.
    pub(super) fn update(&mut self, now: Tick, bundle: &Bundle, metrics: &Metrics) {
        let elapsed = (now - self.measured_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.measured_at = now;
        let old = core::mem::take(&mut self.rates);
        let weight = 1.0 - (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        for pipeline in bundle
            .pipelines
            .iter()
            .filter(|pipeline| uses_model(pipeline))
        {
            let seconds = &metrics.request_seconds;
            let histogram = seconds.with_label_values(&[pipeline.name.as_str()]);
            let count = histogram.get_sample_count();
            let found = old.binary_search_by(|rate| rate.pipeline.cmp(&pipeline.name));
            let (before, rate) = found.map_or((0, 0.0), |at| (old[at].count, old[at].per_second));
            let recent = count.saturating_sub(before) as f64 / elapsed;
            self.rates.push(Rate {
                pipeline: pipeline.name.clone(),
                count,
                per_second: rate + weight * (recent - rate),
            });
        }
    }

    /// Returns the models of a pool, sorted by name.
    ///
    /// Callers connect through a load balancer, so all instances of the domain are assumed to receive the
    /// same demand.
    pub(super) fn models(
        &self,
        bundle: &Bundle,
        pool: &Pool,
        instances: usize,
        metrics: &Metrics,
    ) -> Vec<Model> {
        let weights = pool.weights.iter();
        let models = weights.map(|weight| {
            let usage = self.usage_of(bundle, pool, &weight.model, metrics);
            Model {
                name: weight.model.clone(),
                bytes: weight.bytes,
                demand: usage.per_second * instances as f64,
                engine_rate: f64::from(pool.concurrency) / usage.stage_seconds(),
            }
        });
        models.collect()
    }

    fn usage_of(&self, bundle: &Bundle, pool: &Pool, model: &Name, metrics: &Metrics) -> Usage {
        let mut total = Usage::default();
        for pipeline in &bundle.pipelines {
            let stages = pipeline.stages.iter();
            for stage in stages.filter(|stage| stage.pool == pool.name && stage.model == *model) {
                let labels = [pipeline.name.as_str(), stage.name.as_str()];
                let histogram = metrics.stage_seconds.with_label_values(&labels);
                total.per_second += self.rate(&pipeline.name);
                total.count += histogram.get_sample_count();
                total.seconds += histogram.get_sample_sum();
            }
        }
        total
    }

    fn rate(&self, pipeline: &Name) -> f64 {
        let found = self
            .rates
            .binary_search_by(|rate| rate.pipeline.cmp(pipeline));
        found.map_or(0.0, |at| self.rates[at].per_second)
    }
}

/// The use of one model by pipelines' stages.
#[derive(Default)]
struct Usage {
    per_second: f64,
    count: u64,
    seconds: f64,
}

impl Usage {
    fn stage_seconds(&self) -> f64 {
        if self.count == 0 || self.seconds <= 0.0 {
            return DEFAULT_STAGE_SECONDS;
        }
        self.seconds / self.count as f64
    }
}

fn uses_model(pipeline: &Pipeline) -> bool {
    let mut stages = pipeline.stages.iter();
    stages.any(|stage| !stage.model.as_str().is_empty())
}
