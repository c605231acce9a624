//! What is counted when a request ends.

use core::time::Duration;

use base::Code;
use flow::Answer;

use super::Drive;

impl Drive {
    pub(super) fn measure(&self, answer: &Answer) {
        let plane = &self.plane;
        let metrics = &plane.shared.metrics;
        let pipeline = self.judged.pipeline.name.as_str();
        let took = plane.shared.clock.tick() - self.started;
        let code = answer.code.number().to_string();
        let labels = [pipeline, code.as_str(), answer.outcome.as_str()];
        metrics.requests.with_label_values(&labels).inc();
        metrics
            .request_seconds
            .with_label_values(&[pipeline])
            .observe(took.as_secs_f64());
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
                .inc_by(milli(stage.cost));
        }
        self.tell_book(answer);
        self.tell_gate(answer, cost);
    }

    fn tell_book(&self, answer: &Answer) {
        let shared = &self.plane.shared;
        let in_time = shared.clock.tick() <= self.judged.deadline;
        let stage = (answer.code != Code::Answered).then(|| self.request.stage().name.clone());
        let pipeline = self.judged.pipeline.name.clone();
        let account = self.judged.account.clone();
        let ended = burn::Event::ended(pipeline, account, answer.code, in_time, stage);
        if let Some(ended) = ended {
            shared.tracker().record(shared.clock.stamp(), &ended);
        }
    }

    fn tell_gate(&self, answer: &Answer, cost: f64) {
        let request = self.id;
        let actions = {
            let mut inner = self.plane.inner.borrow_mut();
            let mut actions = Vec::new();
            for (stage, done) in answer.stages.iter().enumerate() {
                let took = Duration::from_secs_f64(done.took_ms.max(0.0) / 1_000.0);
                actions.extend(inner.tell(admit::Event::StageFinished {
                    request,
                    stage,
                    elapsed: took,
                }));
            }
            actions.extend(inner.tell(admit::Event::Finished { request, cost }));
            actions
        };
        self.plane.dispatch(actions);
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn milli(cost: f64) -> u64 {
    // Costs are small and never negative, so nothing is lost that anyone would miss.
    (cost * 1_000.0).round().max(0.0) as u64
}
