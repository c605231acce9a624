//! How long an attempt may go without progress, from what its pool usually does.

use core::time::Duration;

use base::Name;
use retry::{
    Silence,
    configs::{self, silence::Limits},
    silence::Progress,
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
    pools: Vec<(Name, Silence)>,
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
            Err(_) => Silence::open(config()).limits(left),
        };
        Limits {
            first: limits.first.min(self.most),
            between: limits.between.min(self.most),
            ..limits
        }
    }

    /// Counts progress that an attempt made.
    pub(crate) fn learn(&mut self, pool: &Name, progress: Progress) {
        let at = self.find(pool).unwrap_or_else(|at| {
            let silence = Silence::open(config());
            self.pools.insert(at, (pool.clone(), silence));
            at
        });
        self.pools[at].1.learn(progress);
    }

    fn find(&self, pool: &Name) -> Result<usize, usize> {
        self.pools.binary_search_by(|(name, _)| name.cmp(pool))
    }
}

fn config() -> configs::silence::Silence {
    let default = configs::silence::Silence::default();
    configs::silence::Silence {
        factor: FACTOR,
        least: Limits {
            first: FIRST_LEAST,
            between: BETWEEN_LEAST,
            total: FIRST_LEAST,
        },
        ..default
    }
}
