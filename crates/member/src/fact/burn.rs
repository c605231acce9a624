//! Request counts of pipelines, and time and cost of their stages, over time windows.

use base::Name;

/// Request counts of one pipeline and its objective, at one instance or summed over a failure domain.
///
/// The counts are over windows, not since a start: sums of counters since a start would lose those of replaced
/// instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Burn {
    /// The pipeline.
    pub pipeline: Name,
    /// Requests per million that may miss the objective in force; 0 if no objective is known.
    pub allowed: u32,
    /// Requests of the last five minutes.
    pub short: Count,
    /// Requests of the last hour.
    pub long: Count,
}

/// Request counts by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Answered in time.
    pub good: u64,
    /// Answered late.
    pub late: u64,
    /// Refused or failed.
    pub refused: u64,
}

/// The stages of one pipeline, at one instance or summed over a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stages {
    /// The pipeline.
    pub pipeline: Name,
    /// Its stages, sorted by name.
    pub stages: Vec<Stage>,
}

/// Time and cost of a stage in the last hour.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stage {
    /// The stage.
    pub name: Name,
    /// The time for which backend servers were busy with it, in seconds.
    pub busy: u64,
    /// Its cost, in thousandths of operators' units.
    pub cost: u64,
}

/// Pipelines and their stages, summed over the recently heard instances of a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The failure domain.
    pub domain: Name,
    /// Number of the period of wall-clock time for which this was published, a multiple of
    /// [`Tally::INTERVAL_PERIODS`].
    pub version: u64,
    /// Requests, by pipeline.
    pub burns: Vec<Burn>,
    /// Time and cost of the stages of each pipeline, by pipeline.
    pub stages: Vec<Stages>,
    /// Entry instances that are known but were not heard from recently; the sums lack them.
    pub unheard: u32,
}

impl Burn {
    /// Adds the counts of another instance or failure domain for the same pipeline.
    ///
    /// Of two objectives the stricter one is kept, so that the order of sums doesn't matter.
    ///
    /// # Examples
    ///
    /// ```
    /// use member::fact::{Burn, Count};
    /// let burn = |good, allowed| Burn {
    ///     allowed,
    ///     short: Count { good, ..Count::default() },
    ///     ..Burn::default()
    /// };
    /// let mut sum = burn(1, 0);
    /// sum.add(&burn(2, 10_000));
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

    /// Sums up by pipeline; the sums are sorted by name.
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
    /// Sums up by pipeline; the sums and their stages are sorted by name.
    ///
    /// # Examples
    ///
    /// ```
    /// use member::fact::{Stage, Stages};
    /// let stages = |name: &str, busy| Stages {
    ///     pipeline: "brief".into(),
    ///     stages: vec![Stage { name: name.into(), busy, cost: 0 }],
    /// };
    /// let sums = Stages::sum(&[stages("write", 1), stages("check", 2), stages("write", 3)]);
    /// assert_eq!(sums[0].stages.iter().map(|stage| stage.busy).collect::<Vec<_>>(), [2, 4]);
    /// ```
    pub fn sum<'a>(all: impl IntoIterator<Item = &'a Self>) -> Vec<Self> {
        let mut sums: Vec<Self> = Vec::new();
        for one in all {
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
    /// Periods between two tallies.
    pub const INTERVAL_PERIODS: u64 = 6;

    /// Returns the version of the tally for a period.
    pub const fn version_at(period: u64) -> u64 {
        period - period % Self::INTERVAL_PERIODS
    }
}
