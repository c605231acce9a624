//! Load reports, which lag.

use core::time::Duration;
use std::{collections::VecDeque, time::Instant};

/// Samples kept for the lag.
const SAMPLES: usize = 4_096;

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

    /// Notes the load after a change.
    pub(super) fn note(&mut self, now: Instant, sample: Sample) {
        self.samples.push_back((now, sample));
        if self.samples.len() > SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the load as it was some time ago.
    pub(super) fn at(&self, now: Instant, lag: Duration) -> Sample {
        let old = |(at, _): &&(Instant, Sample)| now.duration_since(*at) >= lag;
        let known = self.samples.iter().rev().find(old);
        known.map_or_else(Sample::default, |(_, sample)| *sample)
    }
}
