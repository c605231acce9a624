//! The history of the load, from which load reports with a lag are served.

use core::time::Duration;
use std::{collections::VecDeque, time::Instant};

/// The largest number of samples kept.
const MAX_SAMPLES: usize = 4_096;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Sample {
    pub(super) kv_used: usize,
    pub(super) running: usize,
    pub(super) waiting: usize,
}

pub(super) struct History {
    samples: VecDeque<(Instant, Sample)>,
}

impl History {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            samples: VecDeque::from([(now, Sample::default())]),
        }
    }

    /// Records the load after a change.
    pub(super) fn record(&mut self, now: Instant, sample: Sample) {
        self.samples.push_back((now, sample));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the load as it was `lag` ago.
    pub(super) fn sample_at(&self, now: Instant, lag: Duration) -> Sample {
        let is_old_enough = |(at, _): &&(Instant, Sample)| now.duration_since(*at) >= lag;
        let found = self.samples.iter().rev().find(is_old_enough);
        found.map_or_else(Sample::default, |(_, sample)| *sample)
    }
}
