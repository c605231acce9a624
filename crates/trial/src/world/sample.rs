//! Samples of the main pool and of the gates, for diagnosis.

use super::{DRAIN, Event, World};
use crate::{call::Phase, tally::Sample};

/// Interval of samples, in microseconds.
const INTERVAL: u64 = 1_000_000;

impl World<'_> {
    pub(super) fn sample(&mut self) {
        let main = self
            .servers
            .iter()
            .filter(|server| server.pool == self.size.main && server.up);
        let places: usize = main.clone().map(|server| server.concurrency as usize).sum();
        let busy: usize = main.clone().map(|server| server.running.len()).sum();
        let waiting = self
            .calls
            .iter()
            .filter(|call| call.phase == Phase::Waiting);
        let sample = Sample {
            at: self.now / INTERVAL,
            busy: busy as f64 / places.max(1) as f64,
            queued: main.map(|server| server.queue.len()).sum(),
            waiting: waiting.count(),
        };
        self.samples.push(sample);
        if self.now < self.trace.horizon + DRAIN {
            self.after(INTERVAL, Event::Sample);
        }
    }
}
