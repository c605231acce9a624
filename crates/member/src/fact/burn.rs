//! What pipelines and their stages did over the last span of time.

use base::Name;

/// Requests of one pipeline at an instance, or summed over those of a failure domain.
///
/// These are counts over windows, not since a start: a sum of counters loses what replaced instances counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Burn {
    /// The pipeline.
    pub pipeline: Name,
    /// Requests of a million that the objective in force lets miss; 0 where none is known.
    pub allowed: u32,
    /// Requests of the last five minutes.
    pub short: Count,
    /// Requests of the last hour.
    pub long: Count,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Answered in time.
    pub good: u64,
    /// Answered late.
    pub late: u64,
    /// Refused or failed.
    pub refused: u64,
}

/// The stages of one pipeline at an instance, or summed over those of a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stages {
    /// The pipeline.
    pub pipeline: Name,
    /// Its stages, sorted by name.
    pub stages: Vec<Stage>,
}

/// What a stage took in the last hour.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stage {
    /// The stage.
    pub name: Name,
    /// The time that backend servers were busy with it, in seconds.
    pub busy: u64,
    /// Its cost, in thousandths of operators' units.
    pub cost: u64,
}

/// Pipelines and their stages, summed over the instances of a failure domain that were heard lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The failure domain.
    pub domain: Name,
    /// Number of the period of wall-clock time for which this was sealed, a multiple of [`Tally::INTERVAL_PERIODS`].
    pub version: u64,
    /// Requests, by pipeline.
    pub burns: Vec<Burn>,
    /// What the stages of each pipeline took, by pipeline.
    pub stages: Vec<Stages>,
    /// Entry instances known and not heard lately, which the sums lack.
    pub unheard: u32,
}

impl Burn {
    /// Adds the counts of another instance or failure domain for the same pipeline.
    ///
    /// Of two objectives the stricter one stands, so that the order of sums doesn't matter.
    ///
    /// # Examples
    ///
    /// ```
    /// use member::fact::{Burn, Count};
    /// let told = |good, allowed| Burn {
    ///     allowed,
    ///     short: Count { good, ..Count::default() },
    ///     ..Burn::default()
    /// };
    /// let mut sum = told(1, 0);
    /// sum.add(&told(2, 10_000));
    /// assert_eq!((sum.short.good, sum.allowed), (3, 10_000));
    /// ```
    pub fn add(&mut self, other: &Self) {
        self.allowed = match (self.allowed, other.allowed) {
            (0, allowed) | (allowed, 0) => allowed,
            (one, two) => one.min(two),
        };
        self.short.add(other.short);
        self.long.add(other.long);
    }

    /// Adds each to the one of its pipeline; the sums are sorted by name.
    pub fn sum<'a>(burns: impl IntoIterator<Item = &'a Self>) -> Vec<Self> {
        let mut sums: Vec<Self> = Vec::new();
        for burn in burns {
            match sums.binary_search_by(|sum| sum.pipeline.cmp(&burn.pipeline)) {
                Ok(at) => sums[at].add(burn),
                Err(at) => sums.insert(at, burn.clone()),
            }
        }
        sums
    }
}

impl Count {
    /// Returns the number of requests.
    pub const fn total(self) -> u64 {
        self.good + self.late + self.refused
    }

    const fn add(&mut self, other: Self) {
        self.good += other.good;
        self.late += other.late;
        self.refused += other.refused;
    }
}

impl Stages {
    /// Adds each to the one of its pipeline; the sums and their stages are sorted by name.
    ///
    /// # Examples
    ///
    /// ```
    /// use member::fact::{Stage, Stages};
    /// let told = |name: &str, busy| Stages {
    ///     pipeline: "brief".into(),
    ///     stages: vec![Stage { name: name.into(), busy, cost: 0 }],
    /// };
    /// let sums = Stages::sum(&[told("write", 1), told("check", 2), told("write", 3)]);
    /// assert_eq!(sums[0].stages.iter().map(|stage| stage.busy).collect::<Vec<_>>(), [2, 4]);
    /// ```
    pub fn sum<'a>(told: impl IntoIterator<Item = &'a Self>) -> Vec<Self> {
        let mut sums: Vec<Self> = Vec::new();
        for one in told {
            let at = sums.binary_search_by(|sum| sum.pipeline.cmp(&one.pipeline));
            let at = at.unwrap_or_else(|at| {
                let pipeline = one.pipeline.clone();
                let stages = Vec::new();
                sums.insert(at, Self { pipeline, stages });
                at
            });
            one.stages.iter().for_each(|stage| sums[at].add(stage));
        }
        sums
    }

    fn add(&mut self, stage: &Stage) {
        match self
            .stages
            .binary_search_by(|sum| sum.name.cmp(&stage.name))
        {
            Ok(at) => {
                self.stages[at].busy += stage.busy;
                self.stages[at].cost += stage.cost;
            }
            Err(at) => self.stages.insert(at, stage.clone()),
        }
    }
}

impl Tally {
    /// Periods from one to the next.
    pub const INTERVAL_PERIODS: u64 = 6;

    /// Returns the version that belongs to a period.
    pub const fn version_at(period: u64) -> u64 {
        period - period % Self::INTERVAL_PERIODS
    }
}
