//! How long an attempt may go without progress, from what its pool usually does.

use core::time::Duration;

use base::Name;
use retry::{
    Silence,
    configs::{self, silence::Limits},
    silence::Progress,
};

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
        let known = self.find(pool).ok().map(|at| self.pools[at].1.limits(left));
        let limits = known.unwrap_or_else(|| Silence::default().limits(left));
        Limits {
            first: limits.first.min(self.most),
            between: limits.between.min(self.most),
            ..limits
        }
    }

    /// Counts progress that an attempt made.
    pub(crate) fn learn(&mut self, pool: &Name, progress: Progress) {
        let at = self.find(pool).unwrap_or_else(|at| {
            let silence = Silence::open(configs::silence::Silence::default());
            self.pools.insert(at, (pool.clone(), silence));
            at
        });
        self.pools[at].1.learn(progress);
    }

    fn find(&self, pool: &Name) -> Result<usize, usize> {
        self.pools.binary_search_by(|(name, _)| name.cmp(pool))
    }
}
