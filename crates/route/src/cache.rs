//! Prompt prefixes that a backend server is believed to hold.

use crate::configs::cache::Config;

/// A change in a server's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A prefix was added.
    Added(u64),
    /// All prefixes were evicted.
    Cleared,
    /// A prefix was evicted.
    Removed(u64),
}

/// The prefixes that one server is believed to hold, and the trust in this index.
#[derive(Clone, Debug)]
pub struct Index {
    /// Prefixes with the sequence number of their last use, sorted by prefix.
    prefixes: Vec<(u64, u64)>,
    /// The sequence number of the next cache event, if one has arrived.
    next_seq: Option<u64>,
    /// Number of uses so far, which orders the prefixes by their last use.
    uses: u64,
    /// The probability that the server holds a listed prefix.
    trust: f64,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            prefixes: Vec::new(),
            next_seq: None,
            uses: 0,
            trust: 1.0,
        }
    }
}

impl Index {
    /// Applies a cache event.
    ///
    /// - A gap in the sequence numbers lowers the trust in the index.
    /// - An event older than the last one is ignored.
    pub fn apply(&mut self, config: &Config, seq: u64, change: Change) {
        match self.next_seq {
            Some(next) if seq < next => return,
            Some(next) if seq > next => self.trust = self.trust.min(config.gap_trust),
            _ => {}
        }
        self.next_seq = Some(seq + 1);
        match change {
            Change::Added(prefix) => self.add(config, prefix),
            Change::Cleared => self.prefixes.clear(),
            Change::Removed(prefix) => self.remove(prefix),
        }
    }

    /// Records that an attempt with the prefix was answered from the cache or filled it.
    pub fn record_hit(&mut self, config: &Config, prefix: u64) {
        if self.contains(prefix) {
            self.trust += config.trust_weight * (1.0 - self.trust);
        }
        self.add(config, prefix);
    }

    /// Records that the prefix was not in the cache.
    pub fn record_miss(&mut self, config: &Config, prefix: u64) {
        if self.contains(prefix) {
            self.trust -= config.trust_weight * self.trust;
        }
        self.remove(prefix);
    }

    /// Returns whether the server is believed to hold the prefix.
    pub fn contains(&self, prefix: u64) -> bool {
        self.find(prefix).is_ok()
    }

    /// Returns the probability that the server holds the prefix.
    pub fn hit_probability(&self, prefix: u64) -> f64 {
        if self.contains(prefix) {
            self.trust
        } else {
            0.0
        }
    }

    fn add(&mut self, config: &Config, prefix: u64) {
        self.uses += 1;
        match self.find(prefix) {
            Ok(at) => self.prefixes[at].1 = self.uses,
            Err(_) => {
                if self.prefixes.len() >= config.max_prefixes {
                    self.evict();
                }
                let at = self.prefixes.partition_point(|entry| entry.0 < prefix);
                self.prefixes.insert(at, (prefix, self.uses));
            }
        }
    }

    fn remove(&mut self, prefix: u64) {
        if let Ok(at) = self.find(prefix) {
            self.prefixes.remove(at);
        }
    }

    /// Removes the least recently used prefix.
    fn evict(&mut self) {
        let oldest = (0..self.prefixes.len()).min_by_key(|at| self.prefixes[*at].1);
        if let Some(at) = oldest {
            self.prefixes.remove(at);
        }
    }

    fn find(&self, prefix: u64) -> Result<usize, usize> {
        self.prefixes.binary_search_by_key(&prefix, |entry| entry.0)
    }
}
