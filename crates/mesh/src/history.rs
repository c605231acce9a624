//! Recent changes of a log, for instances that follow this one instead of reading the log themselves.

use core::time::Duration;
use std::collections::VecDeque;

use base::Tick;

/// The largest number of changes that are kept.
const MAX_CHANGES: usize = 4_096;

/// Recent changes of a log, each with its offset.
#[derive(Clone, Debug)]
pub struct History<T> {
    /// The age of the last read from which followers may no longer rely on it.
    max_age: Duration,
    /// The offset from which all changes are kept.
    start: u64,
    /// The offset at which the next read starts.
    next_offset: u64,
    changes: VecDeque<(u64, T)>,
    read_at: Option<Tick>,
}

impl<T: Clone> History<T> {
    /// Creates an empty history whose reads stay valid for `max_age`.
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
    pub const fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            start: 0,
            next_offset: 0,
            changes: VecDeque::new(),
            read_at: None,
        }
    }

    /// Records that the whole log was read up to an offset; the changes before it are not kept.
    pub fn reset(&mut self, now: Tick, next: u64) {
        self.changes.clear();
        self.start = next;
        self.next_offset = next;
        self.read_at = Some(now);
    }

    /// Adds the changes up to an offset.
    pub fn extend(&mut self, now: Tick, next: u64, changes: impl IntoIterator<Item = (u64, T)>) {
        self.changes.extend(changes);
        while self.changes.len() > MAX_CHANGES {
            if let Some((offset, _)) = self.changes.pop_front() {
                self.start = offset + 1;
            }
        }
        self.next_offset = next;
        self.read_at = Some(now);
    }

    /// Returns the changes from an offset on and the offset to continue from, or none if some of them are no
    /// longer kept or the last read is too old.
    pub fn changes_since(&self, now: Tick, from: u64) -> Option<(Vec<(u64, T)>, u64)> {
        let is_fresh = self
            .read_at
            .is_some_and(|read_at| now - read_at < self.max_age);
        if !is_fresh || from < self.start || from > self.next_offset {
            return None;
        }
        let first = self.changes.partition_point(|(offset, _)| *offset < from);
        let changes = self.changes.iter().skip(first).cloned();
        Some((changes.collect(), self.next_offset))
    }
}
