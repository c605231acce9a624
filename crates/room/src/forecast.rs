//! The newest backlogs of shards, and the waits that they let expect.

use core::time::Duration;

use base::{Name, Tick};
use batch::{Backlog, Shard};
use site::route::Rank;

use crate::Config;

/// The newest backlog of each shard.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    config: Config,
    /// The entries, sorted by shard.
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    shard: Shard,
    /// The instance that reported the backlog.
    owner: Name,
    backlog: Backlog,
    received_at: Tick,
}

/// The expected wait in a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    /// The time until the call starts of a piece that can be on time.
    pub on_time: Duration,
    /// The time until the call starts of a late piece.
    pub late: Duration,
    /// Whether more than what the next free server takes is queued.
    pub is_queued: bool,
    /// The thousandths of the servers' memory for results that are in use.
    pub memory_permille: u16,
    /// The age of the report.
    pub age: Duration,
}

impl Forecast {
    /// Creates a forecast without backlogs.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            entries: Vec::new(),
        }
    }

    /// Records the backlog of a shard that an instance reports.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// use batch::{Backlog, Shard};
    /// use room::Forecast;
    /// let (mut forecast, shard) = (Forecast::default(), Shard::whole(&"board".into()));
    /// let free_in = Duration::from_millis(200);
    /// let backlog = Backlog { free_in, ..Backlog::default() };
    /// forecast.record(Tick::from_millis(5_000), &shard, &"b".into(), backlog);
    /// let wait = |at| forecast.wait(Tick::from_millis(at), &shard, Default::default());
    /// assert_eq!(wait(6_000).map(|wait| wait.on_time), Some(free_in));
    /// // After two seconds a report counts half, and after three it is ignored.
    /// assert_eq!(wait(7_000).map(|wait| wait.on_time), Some(free_in / 2));
    /// assert_eq!(wait(8_000), None);
    /// ```
    pub fn record(&mut self, now: Tick, shard: &Shard, owner: &Name, backlog: Backlog) {
        let at = match self.find(shard) {
            Ok(at) => at,
            Err(at) => {
                let max_age = self.config.max_age;
                if self.entries.len() >= self.config.max_shards {
                    self.entries
                        .retain(|entry| now < entry.received_at + max_age);
                }
                if self.entries.len() >= self.config.max_shards {
                    return;
                }
                let at = self.find(shard).unwrap_err().min(at);
                let entry = Entry {
                    shard: shard.clone(),
                    owner: owner.clone(),
                    backlog: Backlog::default(),
                    received_at: now,
                };
                self.entries.insert(at, entry);
                at
            }
        };
        let entry = &mut self.entries[at];
        entry.owner = owner.clone();
        entry.backlog = backlog;
        entry.received_at = now;
    }

    /// Drops what an instance reported.
    pub fn forget_owner(&mut self, owner: &Name) {
        self.entries.retain(|entry| entry.owner != *owner);
    }

    /// Returns the expected wait of a piece that arrives at a shard, or none without a report.
    pub fn wait(&self, now: Tick, shard: &Shard, rank: Rank) -> Option<Wait> {
        let entry = &self.entries[self.find(shard).ok()?];
        let age = now - entry.received_at;
        let weight = self.weight(age);
        if weight <= 0.0 {
            return None;
        }
        let backlog = &entry.backlog;
        let total = backlog.total_on_time_wait();
        let expect = |wait: Duration| wait.mul_f64(weight);
        Some(Wait {
            on_time: expect(backlog.on_time_wait(rank)),
            late: expect(backlog.late_wait(rank)),
            is_queued: total > backlog.free_in || backlog.late_wait(rank) > backlog.free_in,
            memory_permille: (f64::from(backlog.memory_permille) * weight) as u16,
            age,
        })
    }

    /// Returns the number of shards whose backlogs are kept.
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no backlog is kept.
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the weight of a report of some age.
    fn weight(&self, age: Duration) -> f64 {
        let (full, max) = (self.config.full_age, self.config.max_age);
        (max.saturating_sub(age))
            .div_duration_f64(max.saturating_sub(full))
            .min(1.0)
    }

    fn find(&self, shard: &Shard) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.shard.cmp(shard))
    }
}
