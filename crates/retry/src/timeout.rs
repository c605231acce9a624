//! Limits on the progress of an attempt, derived from what the server usually does.

use core::time::Duration;

use base::Tick;

use crate::{
    Histogram,
    configs::{self, timeout::Limits},
};

/// What usually happens at one pool of backend servers.
#[derive(Clone, Debug, Default)]
pub struct Timeouts {
    config: configs::timeout::Timeout,
    first_byte: Histogram,
    gap: Histogram,
    total: Histogram,
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
pub enum Exceeded {
    /// No first byte came.
    FirstByte,
    /// The answer stopped midway.
    Gap,
    /// The answer takes too long altogether.
    Total,
}

impl Timeouts {
    /// Opens the limits of a pool, which are the largest until enough is known.
    pub fn new(config: configs::timeout::Timeout) -> Self {
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
    /// use retry::{Timeouts, timeout::Exceeded};
    /// let timeouts = Timeouts::default();
    /// let watch = timeouts.watch(Tick::default(), Duration::from_secs(1));
    /// assert_eq!(watch.exceeded(Tick::from_millis(900)), None);
    /// assert_eq!(watch.exceeded(Tick::from_millis(1_001)), Some(Exceeded::Total));
    /// ```
    pub fn watch(&self, now: Tick, remaining: Duration) -> Watch {
        Watch {
            start: now,
            last: None,
            limits: self.limits(remaining),
        }
    }

    /// Returns the limits for an attempt with so much time left.
    pub fn limits(&self, remaining: Duration) -> Limits {
        let Limits {
            first_byte,
            gap,
            total,
        } = self.config.max;
        let min = &self.config.min;
        Limits {
            first_byte: self
                .limit(&self.first_byte, min.first_byte, first_byte)
                .min(remaining),
            gap: self.limit(&self.gap, min.gap, gap).min(remaining),
            total: self.limit(&self.total, min.total, total).min(remaining),
        }
    }

    /// Counts the progress of an attempt that went on, so that limits follow.
    pub fn record(&mut self, progress: Progress) {
        match progress {
            Progress::FirstByte(time) => self.first_byte.record(time),
            Progress::Gap(time) => self.gap.record(time),
            Progress::Total(time) => self.total.record(time),
        }
    }

    fn limit(&self, times: &Histogram, min: Duration, max: Duration) -> Duration {
        let quantile = times.quantile(self.config.quantile);
        quantile.map_or(max, |time| (time * self.config.factor).clamp(min, max))
    }
}

/// A step in the progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The first byte came so long after the start.
    FirstByte(Duration),
    /// A piece came so long after the one before.
    Gap(Duration),
    /// The answer ended so long after the start.
    Total(Duration),
}

impl Watch {
    /// Notes a piece of the answer, and returns the progress that it makes.
    pub fn record_chunk(&mut self, now: Tick) -> Progress {
        match self.last.replace(now) {
            None => Progress::FirstByte(now - self.start),
            Some(last) => Progress::Gap(now - last),
        }
    }

    /// Returns the progress that the end of the answer makes.
    pub fn finish(&self, now: Tick) -> Progress {
        Progress::Total(now - self.start)
    }

    /// Tells which limit the attempt has passed.
    ///
    /// A passed limit blames the connection, not the server: the server is blamed only when a new
    /// connection to it fails as well.
    pub fn exceeded(&self, now: Tick) -> Option<Exceeded> {
        if now - self.start > self.limits.total {
            return Some(Exceeded::Total);
        }
        match self.last {
            None => (now - self.start > self.limits.first_byte).then_some(Exceeded::FirstByte),
            Some(last) => (now - last > self.limits.gap).then_some(Exceeded::Gap),
        }
    }

    /// Returns when the attempt is overdue unless it goes on before.
    pub fn next_deadline(&self) -> Tick {
        let next = match self.last {
            None => self.start + self.limits.first_byte,
            Some(last) => last + self.limits.gap,
        };
        next.min(self.start + self.limits.total)
    }
}
