//! Timeouts on the progress of an attempt, derived from the latencies measured at its pool.

use core::time::Duration;

use base::Tick;

use crate::{
    Histogram,
    configs::{self, timeout::Limits},
};

/// The measured latencies of one pool of backend servers and the timeouts derived from them.
#[derive(Clone, Debug, Default)]
pub struct Timeouts {
    config: configs::timeout::Timeout,
    first_byte: Histogram,
    gap: Histogram,
    total: Histogram,
}

/// Watches the progress of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    start: Tick,
    last: Option<Tick>,
    limits: Limits,
}

/// The timeout that an attempt has exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exceeded {
    /// The first byte did not arrive in time.
    FirstByte,
    /// The next chunk did not arrive in time.
    Gap,
    /// The whole answer did not arrive in time.
    Total,
}

impl Timeouts {
    /// Creates the timeouts of a pool, which are at their maximum until enough latencies are known.
    pub fn new(config: configs::timeout::Timeout) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Starts to watch an attempt that may take at most the time remaining until its deadline.
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

    /// Returns the timeouts of an attempt with the given time remaining.
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

    /// Records the latency of a step that an attempt made, from which later timeouts are derived.
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

/// A step in the progress of an attempt, with its latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Time from the start to the first byte.
    FirstByte(Duration),
    /// Time from the previous chunk to this one.
    Gap(Duration),
    /// Time from the start to the end of the answer.
    Total(Duration),
}

impl Watch {
    /// Records the arrival of a chunk and returns the step that it makes.
    pub fn record_chunk(&mut self, now: Tick) -> Progress {
        match self.last.replace(now) {
            None => Progress::FirstByte(now - self.start),
            Some(last) => Progress::Gap(now - last),
        }
    }

    /// Returns the step that the end of the answer makes.
    pub fn finish(&self, now: Tick) -> Progress {
        Progress::Total(now - self.start)
    }

    /// Returns the timeout that the attempt has exceeded.
    ///
    /// An exceeded timeout is blamed on the connection. It is blamed on the server only if a new connection
    /// fails as well.
    pub fn exceeded(&self, now: Tick) -> Option<Exceeded> {
        if now - self.start > self.limits.total {
            return Some(Exceeded::Total);
        }
        match self.last {
            None => (now - self.start > self.limits.first_byte).then_some(Exceeded::FirstByte),
            Some(last) => (now - last > self.limits.gap).then_some(Exceeded::Gap),
        }
    }

    /// Returns when the attempt exceeds a timeout unless it makes progress before.
    pub fn next_deadline(&self) -> Tick {
        let next = match self.last {
            None => self.start + self.limits.first_byte,
            Some(last) => last + self.limits.gap,
        };
        next.min(self.start + self.limits.total)
    }
}
