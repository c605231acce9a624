//! Prompt prefixes that a backend server is believed to hold.

use crate::configs::cache::Config;

/// A change in a server's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A prefix was added.
    Added(u64),
    /// Every prefix was dropped.
    Cleared,
    /// A prefix was dropped.
    Removed(u64),
}

/// The prefixes of one server, and how far the index is trusted.
#[derive(Clone, Debug)]
pub struct Index {
    /// Prefix and time of last use, sorted by prefix.
    held: Vec<(u64, u64)>,
    next_seq: Option<u64>,
    uses: u64,
    trust: f64,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            held: Vec::new(),
            next_seq: None,
            uses: 0,
            trust: 1.0,
        }
    }
}

impl Index {
    /// Takes a cache event.
    ///
    /// - A gap in the numbers lowers the trust in the index.
    /// - An event older than one already taken is dropped.
    pub fn on(&mut self, config: &Config, seq: u64, change: Change) {
        match self.next_seq {
            Some(next) if seq < next => return,
            Some(next) if seq > next => self.trust = self.trust.min(config.gap_trust),
            _ => {}
        }
        self.next_seq = Some(seq + 1);
        match change {
            Change::Added(prefix) => self.add(config, prefix),
            Change::Cleared => self.held.clear(),
            Change::Removed(prefix) => self.remove(prefix),
        }
    }

    /// Notes that an attempt with the prefix was answered from the cache or filled it.
    pub fn hit(&mut self, config: &Config, prefix: u64) {
        if self.holds(prefix) {
            self.trust += config.trust_weight * (1.0 - self.trust);
        }
        self.add(config, prefix);
    }

    /// Notes that the prefix was not in the cache.
    pub fn miss(&mut self, config: &Config, prefix: u64) {
        if self.holds(prefix) {
            self.trust -= config.trust_weight * self.trust;
        }
        self.remove(prefix);
    }

    /// Tells whether the server is believed to hold the prefix.
    pub fn holds(&self, prefix: u64) -> bool {
        self.find(prefix).is_ok()
    }

    /// Returns the chance, from 0 to 1, that the server holds the prefix.
    pub fn chance(&self, prefix: u64) -> f64 {
        if self.holds(prefix) { self.trust } else { 0.0 }
    }

    fn add(&mut self, config: &Config, prefix: u64) {
        self.uses += 1;
        match self.find(prefix) {
            Ok(at) => self.held[at].1 = self.uses,
            Err(_) => {
                if self.held.len() >= config.prefixes {
                    self.evict();
                }
                let at = self.held.partition_point(|held| held.0 < prefix);
                self.held.insert(at, (prefix, self.uses));
            }
        }
    }

    fn remove(&mut self, prefix: u64) {
        if let Ok(at) = self.find(prefix) {
            self.held.remove(at);
        }
    }

    fn evict(&mut self) {
        let oldest = (0..self.held.len()).min_by_key(|at| self.held[*at].1);
        if let Some(at) = oldest {
            self.held.remove(at);
        }
    }

    fn find(&self, prefix: u64) -> Result<usize, usize> {
        self.held.binary_search_by_key(&prefix, |held| held.0)
    }
}
