//! Samples of the main pool and of the admission queues, for diagnosis.

use super::{DRAIN_MICROS, Event, Simulation};
use crate::{call::Phase, tally::Sample};

/// Interval of samples.
const SAMPLE_INTERVAL_MICROS: u64 = 1_000_000;

impl Simulation<'_> {
    pub(super) fn sample(&mut self) {
        let main = self
            .servers
            .iter()
            .filter(|server| server.pool == self.size.main && server.up);
        let slots: usize = main.clone().map(|server| server.concurrency as usize).sum();
        let busy: usize = main.clone().map(|server| server.running.len()).sum();
        let waiting = self.calls.iter().filter(|call| call.phase == Phase::Queued);
        let sample = Sample {
            at: self.now / SAMPLE_INTERVAL_MICROS,
            busy: busy as f64 / slots.max(1) as f64,
            queued: main.map(|server| server.queue.len()).sum(),
            waiting: waiting.count(),
        };
        self.samples.push(sample);
        if self.now < self.trace.horizon + DRAIN_MICROS {
            self.schedule_after(SAMPLE_INTERVAL_MICROS, Event::Sample);
        }
    }
}
