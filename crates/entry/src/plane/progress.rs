//! How long an attempt may go without progress, from what its pool usually does.

use core::time::Duration;

use base::Name;
use retry::{
    Timeouts,
    configs::{self, timeout::Limits},
    timeout::Progress,
};

/// The shortest limit on the wait for the head of an answer; a burst's wait in a server's queue has
/// to pass below it, or the burst would be sent again.
const FIRST_LEAST: Duration = Duration::from_secs(1);

/// The shortest limit on the wait between two parts of an answer.
const BETWEEN_LEAST: Duration = Duration::from_millis(500);

/// The multiple of the usual time that is too long.
const FACTOR: u32 = 6;

/// The progress limits of every pool, sorted by name.
pub(crate) struct Paces {
    most: Duration,
    pools: Vec<(Name, Timeouts)>,
}

impl Paces {
    /// Returns limits that know no pool; no limit is ever above `most`.
    pub(crate) const fn new(most: Duration) -> Self {
        Self {
            most,
            pools: Vec::new(),
        }
    }

    /// Returns the limits of an attempt with so much time left.
    pub(crate) fn limits(&self, pool: &Name, left: Duration) -> Limits {
        let limits = match self.find(pool) {
            Ok(at) => self.pools[at].1.limits(left),
            Err(_) => Timeouts::new(config()).limits(left),
        };
        Limits {
            first_byte: limits.first_byte.min(self.most),
            gap: limits.gap.min(self.most),
            ..limits
        }
    }

    /// Counts progress that an attempt made.
    pub(crate) fn learn(&mut self, pool: &Name, progress: Progress) {
        let at = self.find(pool).unwrap_or_else(|at| {
            let timeouts = Timeouts::new(config());
            self.pools.insert(at, (pool.clone(), timeouts));
            at
        });
        self.pools[at].1.record(progress);
    }

    fn find(&self, pool: &Name) -> Result<usize, usize> {
        self.pools.binary_search_by(|(name, _)| name.cmp(pool))
    }
}

fn config() -> configs::timeout::Timeout {
    let default = configs::timeout::Timeout::default();
    configs::timeout::Timeout {
        factor: FACTOR,
        min: Limits {
            first_byte: FIRST_LEAST,
            gap: BETWEEN_LEAST,
            total: FIRST_LEAST,
        },
        ..default
    }
}
