//! Whether a request can be answered in time, and what it is told if not.

use core::time::Duration;

use base::{Code, Tick};

use crate::{
    event::{Ask, Context, Refusal},
    gate::Gate,
    line::Kind,
};

impl Gate {
    pub(super) fn judge(
        &mut self,
        cx: &mut Context<'_>,
        ask: &Ask,
        kind: &Kind,
        pipeline: usize,
    ) -> Option<Refusal> {
        if kind.patient {
            return (self.waiting_patient >= self.config.gate.patient_queue).then(|| {
                self.refuse(
                    cx,
                    Code::Overloaded,
                    self.config.returns.most,
                    None,
                    Duration::ZERO,
                )
            });
        }
        let left = ask.deadline - cx.now;
        let need = self.pipelines[pipeline].need(&self.config.budget, cx.now, 0);
        let spare = left.saturating_sub(self.pipelines[pipeline].usual());
        if let Some(back) = self.down(pipeline) {
            return Some(self.refuse(cx, Code::StageUnavailable, back, None, spare));
        }
        let rate = self.rate(cx.now, pipeline);
        let wait = self.wait(cx.now, ask, kind, rate);
        if wait + need > left {
            let over = wait + need - left;
            return Some(self.refuse(cx, Code::DeadlineUnmeetable, over, rate, spare));
        }
        (self.waiting >= self.config.gate.queue)
            .then(|| self.refuse(cx, Code::Overloaded, wait, rate, spare))
    }

    fn down(&self, pipeline: usize) -> Option<Duration> {
        self.pipelines[pipeline]
            .stages
            .iter()
            .filter_map(|stage| self.find_pool(&stage.pool).ok())
            .map(|at| &self.pools[at])
            .filter(|pool| pool.is_down())
            .map(|pool| pool.retry_after)
            .max()
    }

    /// Returns the requests a second that the narrowest pool of a pipeline serves.
    pub(super) fn rate(&self, now: Tick, pipeline: usize) -> Option<f64> {
        let pipeline = &self.pipelines[pipeline];
        let times = pipeline.times(&self.config.budget, now);
        (0..pipeline.stages.len())
            .filter_map(|stage| {
                let at = self.find_pool(&pipeline.stages[stage].pool).ok()?;
                self.pools[at].rate(&self.config.pool, &times, stage)
            })
            .min_by(f64::total_cmp)
    }

    /// Returns the expected time in the queue.
    fn wait(&self, now: Tick, ask: &Ask, kind: &Kind, rate: Option<f64>) -> Duration {
        let Some(rate) = rate else {
            return Duration::ZERO;
        };
        let due = due(now, ask);
        let own = self
            .lines
            .iter()
            .find(|line| line.kind == *kind)
            .map_or(0, |line| line.ahead(due));
        let weight = self.accounts.weight(&kind.account);
        let others: f64 = self
            .lines
            .iter()
            .filter(|line| line.kind != *kind && !line.kind.patient)
            .filter(|line| line.kind.pipeline == kind.pipeline)
            .map(|line| {
                let all = line.entries.len() as f64;
                if line.kind.priority != kind.priority {
                    return if line.kind.priority > kind.priority {
                        all
                    } else {
                        0.0
                    };
                }
                let share = self.accounts.weight(&line.kind.account) / weight;
                all.min((own + 1) as f64 * share)
            })
            .sum();
        Duration::from_secs_f64((own as f64 + others) / rate)
    }

    pub(super) fn refuse(
        &mut self,
        cx: &mut Context<'_>,
        code: Code,
        wait: Duration,
        rate: Option<f64>,
        spare: Duration,
    ) -> Refusal {
        let retry_after = self
            .returns
            .after(&self.config.returns, cx, wait, rate, spare);
        Refusal { code, retry_after }
    }
}

/// Returns the place of a request: its deadline less the time already waited under its key.
pub(super) fn due(now: Tick, ask: &Ask) -> Tick {
    let waited = now - ask.age_from;
    Tick::from_micros(
        (ask.deadline - Tick::default())
            .saturating_sub(waited)
            .as_micros() as u64,
    )
}
