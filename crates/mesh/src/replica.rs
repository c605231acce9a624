//! A copy of a topic of the platform's store, read from the store or from another instance.

use base::Name;

/// The largest number of removed keys that are kept for other instances.
const MAX_REMOVALS: usize = 4_096;

/// A place in a partition of the store. Offsets are given out again after the store was restored from an older copy, so
/// positions of different eras are not comparable by offset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The number of times that the store was restored.
    pub era: u64,
    /// The offset within the era.
    pub offset: u64,
}

/// The newest record of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<T> {
    /// The key.
    pub key: Name,
    /// The offset of the record.
    pub offset: u64,
    /// The value, or `None` if the key was removed.
    pub value: Option<T>,
}

/// Records of a topic up to a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes<T> {
    /// Whether these are the records of all keys, rather than those that follow a position.
    pub is_complete: bool,
    /// The position from which to read on.
    pub next: Position,
    /// The records, at most one a key.
    pub records: Vec<Record<T>>,
}

/// A record that was applied to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update<T> {
    /// The record.
    pub record: Record<T>,
    /// Whether its value differs from the one known before.
    pub is_changed: bool,
    /// Whether the key was unknown. A removal of such a key shows that its value came and went unread.
    pub is_new: bool,
}

/// The newest record of each key, and the position up to which they are known.
#[derive(Clone, Debug)]
pub struct Replica<T> {
    next: Option<Position>,
    /// The offset from which all removed keys are known.
    start: u64,
    /// One record a key, sorted by key, with the offset at which its value changed last.
    records: Vec<Record<T>>,
    /// The offset after the newest change.
    changed_to: u64,
}

impl<T> Default for Replica<T> {
    fn default() -> Self {
        Self {
            next: None,
            start: 0,
            records: Vec::new(),
            changed_to: 0,
        }
    }
}

impl<T: Clone + PartialEq> Replica<T> {
    /// Returns the position from which to read on, or `None` before all keys were read.
    pub const fn next(&self) -> Option<Position> {
        self.next
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &Name) -> Option<&T> {
        let at = self.find(key).ok()?;
        self.records[at].value.as_ref()
    }

    /// Returns the keys that have a value.
    pub fn keys(&self) -> impl Iterator<Item = &Name> {
        let records = self.records.iter();
        records
            .filter(|record| record.value.is_some())
            .map(|record| &record.key)
    }

    /// Forgets the position, so that all keys are read again.
    pub const fn reset(&mut self) {
        self.next = None;
    }

    /// Applies records, and returns them with the keys that a complete list lacks, or `None` if they are older than
    /// what is known or leave a gap. `from` is the position that the records follow.
    ///
    /// # Examples
    ///
    /// ```
    /// use mesh::{Changes, Position, Record, Replica};
    /// let at = |offset| Position { era: 1, offset };
    /// let record = Record { key: "i-1".into(), offset: 4, value: Some("ready") };
    /// let mut replica = Replica::default();
    /// let list = Changes { is_complete: true, next: at(5), records: vec![record.clone()] };
    /// assert!(replica.apply(None, list).is_some());
    /// let late = Changes { is_complete: false, next: at(3), records: vec![record] };
    /// assert!(replica.apply(Some(at(2)), late).is_none());
    /// assert_eq!(replica.next(), Some(at(5)));
    /// ```
    pub fn apply(&mut self, from: Option<Position>, changes: Changes<T>) -> Option<Vec<Update<T>>> {
        let next = changes.next;
        if changes.is_complete {
            if self.next.is_some_and(|known| next < known) {
                return None;
            }
            return Some(self.replace(next, changes.records));
        }
        let from = from.filter(|from| Some(*from) == self.next)?;
        if from.era != next.era || from > next {
            return None;
        }
        self.next = Some(next);
        let records = changes.records.into_iter();
        Some(records.map(|record| self.insert(record)).collect())
    }

    /// Keeps only the newest records, for topics whose keys are never removed.
    pub fn truncate(&mut self, max: usize) {
        if self.records.len() <= max {
            return;
        }
        let mut offsets: Vec<_> = self.records.iter().map(|record| record.offset).collect();
        offsets.sort_unstable();
        let last = offsets[offsets.len() - max - 1];
        self.start = self.start.max(last + 1);
        self.records.retain(|record| record.offset > last);
    }

    fn replace(&mut self, next: Position, records: Vec<Record<T>>) -> Vec<Update<T>> {
        let mut listed: Vec<_> = records.iter().map(|record| record.key.clone()).collect();
        listed.sort();
        let missing = self.keys().filter(|key| listed.binary_search(key).is_err());
        let missing: Vec<_> = missing.cloned().collect();
        self.next = Some(next);
        // Removals before the list are unknown, and changes of an earlier era have other offsets.
        let last = next.offset.saturating_sub(1);
        self.records.retain(|record| record.value.is_some());
        for record in &mut self.records {
            record.offset = record.offset.min(last);
        }
        self.start = next.offset;
        self.changed_to = next.offset;
        let removed = missing.into_iter().map(|key| Record {
            key,
            offset: last,
            value: None,
        });
        let removed: Vec<_> = removed.collect();
        let records = removed.into_iter().chain(records);
        records.map(|record| self.insert(record)).collect()
    }

    fn insert(&mut self, record: Record<T>) -> Update<T> {
        let position = self.find(&record.key);
        let is_new = position.is_err();
        let is_changed = match position {
            Ok(at) if self.records[at].value == record.value => {
                // The newest value is kept, as it may differ in parts that its comparison ignores.
                self.records[at].value.clone_from(&record.value);
                false
            }
            Ok(at) => {
                self.records[at] = record.clone();
                true
            }
            Err(at) => {
                self.records.insert(at, record.clone());
                record.value.is_some()
            }
        };
        if is_changed {
            self.changed_to = self.changed_to.max(record.offset + 1);
        }
        if record.value.is_none() {
            self.limit_removals();
        }
        Update {
            record,
            is_changed,
            is_new,
        }
    }

    fn limit_removals(&mut self) {
        let removed = self.records.iter().filter(|record| record.value.is_none());
        let mut offsets: Vec<_> = removed.map(|record| record.offset).collect();
        if offsets.len() <= MAX_REMOVALS {
            return;
        }
        offsets.sort_unstable();
        let last = offsets[offsets.len() / 2];
        self.start = self.start.max(last + 1);
        self.records
            .retain(|record| record.value.is_some() || record.offset > last);
    }

    /// Returns the changes that follow a position, or all records if some changes since then are unknown. Returns
    /// `None` if the position is ahead of this replica.
    pub fn changes_since(&self, from: Option<Position>) -> Option<Changes<T>> {
        let next = self.next?;
        if from.is_some_and(|from| from > next) {
            return None;
        }
        let from = from.filter(|from| from.era == next.era && from.offset >= self.start);
        let records = self.records.iter();
        let records: Vec<_> = match from {
            Some(from) if self.changed_to <= from.offset => Vec::new(),
            Some(from) => {
                let changed = records.filter(|record| record.offset >= from.offset);
                changed.cloned().collect()
            }
            None => {
                let listed = records.filter(|record| record.value.is_some());
                listed.cloned().collect()
            }
        };
        Some(Changes {
            is_complete: from.is_none(),
            next,
            records,
        })
    }

    fn find(&self, key: &Name) -> Result<usize, usize> {
        self.records.binary_search_by(|record| record.key.cmp(key))
    }
}
