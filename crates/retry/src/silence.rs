//! Limits on the progress of an attempt, derived from what the server usually does.

use core::time::Duration;

use base::Tick;

use crate::{
    Usual,
    configs::{self, silence::Limits},
};

/// What usually happens at one pool of backend servers.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    config: configs::silence::Silence,
    first: Usual,
    between: Usual,
    total: Usual,
}

/// The progress of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    start: Tick,
    last: Option<Tick>,
    limits: Limits,
}

/// Which limit an attempt has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// No first byte came.
    First,
    /// The answer stopped midway.
    Between,
    /// The answer takes too long altogether.
    Total,
}

impl Silence {
    /// Opens the limits of a pool, which are the largest until enough is known.
    pub fn open(config: configs::silence::Silence) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Starts to watch an attempt that may take no longer than what is left of its deadline.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// use retry::{Silence, silence::Overdue};
    /// let silence = Silence::default();
    /// let watch = silence.watch(Tick::default(), Duration::from_secs(1));
    /// assert_eq!(watch.overdue(Tick::from_millis(900)), None);
    /// assert_eq!(watch.overdue(Tick::from_millis(1_001)), Some(Overdue::Total));
    /// ```
    pub fn watch(&self, now: Tick, left: Duration) -> Watch {
        Watch {
            start: now,
            last: None,
            limits: self.limits(left),
        }
    }

    /// Returns the limits for an attempt with so much time left.
    pub fn limits(&self, left: Duration) -> Limits {
        let Limits {
            first,
            between,
            total,
        } = self.config.most;
        let least = &self.config.least;
        Limits {
            first: self.limit(&self.first, least.first, first).min(left),
            between: self.limit(&self.between, least.between, between).min(left),
            total: self.limit(&self.total, least.total, total).min(left),
        }
    }

    /// Counts the progress of an attempt that went on, so that limits follow.
    pub fn learn(&mut self, progress: Progress) {
        match progress {
            Progress::First(time) => self.first.add(time),
            Progress::Between(time) => self.between.add(time),
            Progress::Total(time) => self.total.add(time),
        }
    }

    fn limit(&self, usual: &Usual, least: Duration, most: Duration) -> Duration {
        let long = usual.quantile(self.config.quantile);
        long.map_or(most, |time| (time * self.config.factor).clamp(least, most))
    }
}

/// A step in the progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The first byte came so long after the start.
    First(Duration),
    /// A piece came so long after the one before.
    Between(Duration),
    /// The answer ended so long after the start.
    Total(Duration),
}

impl Watch {
    /// Notes a piece of the answer, and returns the progress that it makes.
    pub fn piece(&mut self, now: Tick) -> Progress {
        match self.last.replace(now) {
            None => Progress::First(now - self.start),
            Some(last) => Progress::Between(now - last),
        }
    }

    /// Returns the progress that the end of the answer makes.
    pub fn end(&self, now: Tick) -> Progress {
        Progress::Total(now - self.start)
    }

    /// Tells which limit the attempt has passed.
    ///
    /// A passed limit blames the connection, not the server: the server is blamed only when a new
    /// connection to it fails as well.
    pub fn overdue(&self, now: Tick) -> Option<Overdue> {
        if now - self.start > self.limits.total {
            return Some(Overdue::Total);
        }
        match self.last {
            None => (now - self.start > self.limits.first).then_some(Overdue::First),
            Some(last) => (now - last > self.limits.between).then_some(Overdue::Between),
        }
    }

    /// Returns when the attempt is overdue unless it goes on before.
    pub fn due(&self) -> Tick {
        let next = match self.last {
            None => self.start + self.limits.first,
            Some(last) => last + self.limits.between,
        };
        next.min(self.start + self.limits.total)
    }
}
