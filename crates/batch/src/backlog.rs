//! How long new pieces wait in a shard, by rank.

use core::time::Duration;

use site::route::Rank;

/// The largest number of ranks in a report. A deployment has few; the last ones share a level beyond that.
pub const MAX_LEVELS: usize = 8;

/// The backlog of a shard, as its last plan shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// The time until the next server is free.
    pub free_in: Duration,
    /// The waits by rank, sorted, of the ranks that have pieces queued.
    pub levels: Vec<Level>,
    /// The thousandths of the servers' memory for results that are in use.
    pub memory_permille: u16,
}

/// The waits of a piece that arrives now until its call starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Level {
    /// The rank of the piece.
    pub rank: Rank,
    /// The wait if the piece can be on time: behind the work that can be on time of this rank and of those before it.
    pub on_time: Duration,
    /// The wait if it is late: behind all work that can be on time, late work of this rank and of those before it, and what
    /// arrives meanwhile and can be on time.
    pub late: Duration,
}

impl Backlog {
    /// Returns how long a piece waits until its call starts if it can be on time.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use batch::{Backlog, backlog::Level};
    /// use site::route::Rank;
    /// let ms = Duration::from_millis;
    /// let level = Level { rank: Rank::new(None, 1), on_time: ms(300), late: ms(500) };
    /// let backlog = Backlog { free_in: ms(20), levels: vec![level], memory_permille: 0 };
    /// assert_eq!(backlog.on_time_wait(Rank::new(None, 2)), ms(300));
    /// assert_eq!(backlog.on_time_wait(Rank::new(None, 0)), ms(20));
    /// ```
    pub fn on_time_wait(&self, rank: Rank) -> Duration {
        let level = self.level(rank);
        level.map_or(self.free_in, |level| level.on_time)
    }

    /// Returns how long a piece waits until its call starts if it is late.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use batch::{Backlog, backlog::Level};
    /// use site::route::Rank;
    /// let ms = Duration::from_millis;
    /// let level = Level { rank: Rank::new(None, 1), on_time: ms(300), late: ms(500) };
    /// let backlog = Backlog { free_in: ms(20), levels: vec![level], memory_permille: 0 };
    /// // Late work goes behind all work that can be on time.
    /// assert_eq!(backlog.late_wait(Rank::new(None, 0)), ms(300));
    /// assert_eq!(backlog.late_wait(Rank::new(None, 1)), ms(500));
    /// ```
    pub fn late_wait(&self, rank: Rank) -> Duration {
        match self.level(rank) {
            Some(level) => level.late,
            None => self.total_on_time_wait(),
        }
    }

    /// Returns how long a piece of the last rank waits until its call starts if it can be on time.
    pub fn total_on_time_wait(&self) -> Duration {
        let last = self.levels.last();
        last.map_or(self.free_in, |level| level.on_time)
    }

    /// Returns the last level whose rank is not after the given one.
    fn level(&self, rank: Rank) -> Option<&Level> {
        let end = self.levels.partition_point(|level| level.rank <= rank);
        self.levels[..end].last()
    }
}
