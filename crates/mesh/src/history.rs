//! Changes that were read lately, for instances that follow this one instead of reading themselves.

use core::time::Duration;
use std::collections::VecDeque;

use base::Tick;

/// The most changes that are kept.
const MOST: usize = 4_096;

/// Changes of a log, each with its offset.
#[derive(Clone, Debug)]
pub struct History<T> {
    /// How old the last read may be for others to rely on it.
    limit: Duration,
    /// The offset from which on every change is here.
    start: u64,
    /// The offset up to which the log was read.
    next: u64,
    changes: VecDeque<(u64, T)>,
    read: Option<Tick>,
}

impl<T: Clone> History<T> {
    /// Knows no change; others may rely on a read for some time.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// use mesh::History;
    /// let now = Tick::from_millis(5);
    /// let mut history = History::new(Duration::from_secs(1));
    /// history.reset(now, 7);
    /// history.extend(now, 9, [(8, "leaving")]);
    /// assert_eq!(history.changes_since(now, 7), Some((vec![(8, "leaving")], 9)));
    /// assert_eq!(history.changes_since(now, 6), None);
    /// ```
    pub const fn new(limit: Duration) -> Self {
        Self {
            limit,
            start: 0,
            next: 0,
            changes: VecDeque::new(),
            read: None,
        }
    }

    /// Takes note that everything was read up to an offset; changes before it are not known one by one.
    pub fn reset(&mut self, now: Tick, next: u64) {
        self.changes.clear();
        self.start = next;
        self.next = next;
        self.read = Some(now);
    }

    /// Takes note of the changes up to an offset.
    pub fn extend(&mut self, now: Tick, next: u64, changes: impl IntoIterator<Item = (u64, T)>) {
        self.changes.extend(changes);
        while self.changes.len() > MOST {
            if let Some((offset, _)) = self.changes.pop_front() {
                self.start = offset + 1;
            }
        }
        self.next = next;
        self.read = Some(now);
    }

    /// Returns the changes from an offset on and the offset to go on from, none where they are not all known
    /// or the log was not read lately.
    pub fn changes_since(&self, now: Tick, from: u64) -> Option<(Vec<(u64, T)>, u64)> {
        let is_fresh = self.read.is_some_and(|read| now - read < self.limit);
        if !is_fresh || from < self.start || from > self.next {
            return None;
        }
        let first = self.changes.partition_point(|(offset, _)| *offset < from);
        let changes = self.changes.iter().skip(first).cloned();
        Some((changes.collect(), self.next))
    }
}
