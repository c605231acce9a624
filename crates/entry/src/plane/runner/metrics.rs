//! Metrics and estimates updated when a request ends.

use core::time::Duration;

use base::Code;
use flow::Answer;

use super::Runner;

impl Runner {
    pub(super) fn record_metrics(&self, answer: &Answer) {
        let plane = &self.plane;
        let metrics = &plane.shared.metrics;
        let pipeline = self.execution.pipeline.name.as_str();
        let elapsed = plane.shared.clock.tick() - self.started;
        let code = answer.code.number().to_string();
        let labels = [pipeline, code.as_str(), answer.outcome.as_str()];
        metrics.requests.with_label_values(&labels).inc();
        metrics
            .request_seconds
            .with_label_values(&[pipeline])
            .observe(elapsed.as_secs_f64());
        metrics
            .tokens
            .with_label_values(&[pipeline])
            .inc_by(self.text.count);
        let mut cost = 0.0;
        for stage in &answer.stages {
            cost += stage.cost;
            let labels = [pipeline, stage.name.as_str()];
            let seconds = stage.took_ms / 1_000.0;
            metrics
                .stage_seconds
                .with_label_values(&labels)
                .observe(seconds);
            metrics
                .cost
                .with_label_values(&labels)
                .inc_by(to_milli(stage.cost));
        }
        self.record_burn(answer);
        self.record_admission(answer, cost);
    }

    fn record_burn(&self, answer: &Answer) {
        let shared = &self.plane.shared;
        let in_time = shared.clock.tick() <= self.execution.deadline;
        let stage = (answer.code != Code::Answered).then(|| self.request.stage().name.clone());
        let pipeline = self.execution.pipeline.name.clone();
        let account = self.execution.account.clone();
        let event = burn::Event::ended(pipeline, account, answer.code, in_time, stage);
        if let Some(event) = event {
            shared.tracker().record(shared.clock.stamp(), &event);
        }
    }

    fn record_admission(&self, answer: &Answer, cost: f64) {
        let request = self.id;
        let actions = {
            let mut inner = self.plane.inner.borrow_mut();
            let mut actions = Vec::new();
            for (stage, timing) in answer.stages.iter().enumerate() {
                let elapsed = Duration::from_secs_f64(timing.took_ms.max(0.0) / 1_000.0);
                actions.extend(inner.handle_admission(admit::Event::StageFinished {
                    request,
                    stage,
                    elapsed,
                }));
            }
            actions.extend(inner.handle_admission(admit::Event::Finished { request, cost }));
            actions
        };
        self.plane.dispatch(actions);
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_milli(cost: f64) -> u64 {
    // Costs are small and never negative, so the cast only drops fractions of a thousandth.
    (cost * 1_000.0).round().max(0.0) as u64
}
