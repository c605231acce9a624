//! Refusal of requests that cannot be answered in time.

use core::time::Duration;

use base::{Code, Tick};

use crate::{
    controller::Controller,
    event::{Context, Refusal, Request},
    queue::Class,
};

impl Controller {
    /// Returns the refusal of a new request that cannot be answered in time, or finds a pool down or the
    /// queue full.
    pub(super) fn check(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        class: &Class,
        pipeline: usize,
    ) -> Option<Refusal> {
        if class.background {
            return (self.waiting_background >= self.config.queue.max_background).then(|| {
                self.refuse(
                    cx,
                    Code::Overloaded,
                    self.config.backoff.max,
                    None,
                    Duration::ZERO,
                )
            });
        }
        let time_left = request.deadline - cx.now;
        let required = self.pipelines[pipeline].required_time(&self.config.estimate, cx.now, 0);
        let slack = time_left.saturating_sub(self.pipelines[pipeline].baseline());
        if let Some(retry_after) = self.outage(pipeline) {
            return Some(self.refuse(cx, Code::StageUnavailable, retry_after, None, slack));
        }
        let rate = self.throughput(cx.now, pipeline);
        let wait = self.queue_time(cx.now, request, class, rate);
        if wait + required > time_left {
            let excess = wait + required - time_left;
            return Some(self.refuse(cx, Code::DeadlineUnmeetable, excess, rate, slack));
        }
        (self.waiting >= self.config.queue.max_queued)
            .then(|| self.refuse(cx, Code::Overloaded, wait, rate, slack))
    }

    /// Returns the time until a pipeline may be available again, if a pool of its stages is down.
    fn outage(&self, pipeline: usize) -> Option<Duration> {
        self.pipelines[pipeline]
            .stages
            .iter()
            .filter_map(|stage| self.find_pool(&stage.pool).ok())
            .map(|at| &self.pools[at])
            .filter(|pool| pool.is_down())
            .map(|pool| pool.retry_after)
            .max()
    }

    /// Returns the throughput of a pipeline's bottleneck pool, in requests per second.
    pub(super) fn throughput(&self, now: Tick, pipeline: usize) -> Option<f64> {
        let pipeline = &self.pipelines[pipeline];
        let times = pipeline.stage_times(&self.config.estimate, now);
        (0..pipeline.stages.len())
            .filter_map(|stage| {
                let at = self.find_pool(&pipeline.stages[stage].pool).ok()?;
                self.pools[at].throughput(&self.config.pool, &times, stage)
            })
            .min_by(f64::total_cmp)
    }

    /// Returns the expected waiting time in the queue.
    ///
    /// Requests of the same class with an earlier effective deadline go first, and so do all requests of the
    /// same pipeline with a higher priority. Accounts with requests of the same priority are served in
    /// proportion to their weights.
    fn queue_time(
        &self,
        now: Tick,
        request: &Request,
        class: &Class,
        rate: Option<f64>,
    ) -> Duration {
        let Some(rate) = rate else {
            return Duration::ZERO;
        };
        let deadline = effective_deadline(now, request);
        let ahead = self
            .queues
            .iter()
            .find(|queue| queue.class == *class)
            .map_or(0, |queue| queue.ahead(deadline));
        let weight = self.accounts.weight(&class.account);
        let others: f64 = self
            .queues
            .iter()
            .filter(|queue| queue.class != *class && !queue.class.background)
            .filter(|queue| queue.class.pipeline == class.pipeline)
            .map(|queue| {
                let queued = queue.entries.len() as f64;
                if queue.class.priority != class.priority {
                    return if queue.class.priority > class.priority {
                        queued
                    } else {
                        0.0
                    };
                }
                let share = self.accounts.weight(&queue.class.account) / weight;
                queued.min((ahead + 1) as f64 * share)
            })
            .sum();
        Duration::from_secs_f64((ahead as f64 + others) / rate)
    }

    /// Creates a refusal; [`crate::backoff::Backoff::delay`] describes `wait`, `rate` and `slack`.
    pub(super) fn refuse(
        &mut self,
        cx: &mut Context<'_>,
        code: Code,
        wait: Duration,
        rate: Option<f64>,
        slack: Duration,
    ) -> Refusal {
        let retry_after = self
            .backoff
            .delay(&self.config.backoff, cx, wait, rate, slack);
        Refusal { code, retry_after }
    }
}

/// Returns the deadline that a request is sorted by: its deadline minus the time already waited under its key.
pub(super) fn effective_deadline(now: Tick, request: &Request) -> Tick {
    let waited = now - request.issued_at;
    Tick::from_micros(
        (request.deadline - Tick::default())
            .saturating_sub(waited)
            .as_micros() as u64,
    )
}
