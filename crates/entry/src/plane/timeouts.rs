//! Timeouts on the progress of attempts, derived from the latencies measured in each pool.

use core::time::Duration;

use base::Name;
use retry::{
    Timeouts,
    configs::{self, timeout::Limits},
    timeout::Progress,
};

/// The shortest timeout on the head of an answer. It exceeds the time that a burst waits in a server's
/// queue; otherwise the burst would be retried.
const MIN_FIRST_BYTE: Duration = Duration::from_secs(1);

/// The shortest timeout on the gap between two parts of an answer.
const MIN_GAP: Duration = Duration::from_millis(500);

/// The multiple of the usual latency at which an attempt times out.
const LATENCY_FACTOR: u32 = 6;

/// The progress timeouts of every pool, sorted by name.
pub(crate) struct Pools {
    max: Duration,
    entries: Vec<(Name, Timeouts)>,
}

impl Pools {
    /// Returns timeouts without any measurement; no timeout ever exceeds `max`.
    pub(crate) const fn new(max: Duration) -> Self {
        Self {
            max,
            entries: Vec::new(),
        }
    }

    /// Returns the timeouts of an attempt.
    pub(crate) fn limits(&self, pool: &Name, time_left: Duration) -> Limits {
        let limits = match self.find(pool) {
            Ok(at) => self.entries[at].1.limits(time_left),
            Err(_) => Timeouts::new(config()).limits(time_left),
        };
        Limits {
            first_byte: limits.first_byte.min(self.max),
            gap: limits.gap.min(self.max),
            ..limits
        }
    }

    /// Records the latency of a part of an answer.
    pub(crate) fn record(&mut self, pool: &Name, progress: Progress) {
        let at = self.find(pool).unwrap_or_else(|at| {
            let timeouts = Timeouts::new(config());
            self.entries.insert(at, (pool.clone(), timeouts));
            at
        });
        self.entries[at].1.record(progress);
    }

    fn find(&self, pool: &Name) -> Result<usize, usize> {
        self.entries.binary_search_by(|(name, _)| name.cmp(pool))
    }
}

fn config() -> configs::timeout::Timeout {
    let default = configs::timeout::Timeout::default();
    configs::timeout::Timeout {
        factor: LATENCY_FACTOR,
        min: Limits {
            first_byte: MIN_FIRST_BYTE,
            gap: MIN_GAP,
            total: MIN_FIRST_BYTE,
        },
        ..default
    }
}
