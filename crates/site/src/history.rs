//! Remembers since when the servers of each pool have run one software only.
//!
//! A stream whose origin nobody knows any more began at the software that its pool ran all the time since then. The list of
//! servers alone doesn't show that, as a release may have replaced all servers after the stream began.

use core::time::Duration;

use base::{Name, Software, Stamp};

use crate::Roster;

/// The software of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// The pool.
    pub pool: Name,
    /// The software of all its servers, or none if they differ or state none.
    pub software: Option<Software>,
    /// Since when.
    pub since: Stamp,
}

/// The software of each pool.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Sorted by pool.
    spans: Vec<Span>,
    /// The pools whose spans are not in the store, sorted.
    unsaved: Vec<Name>,
    /// Whether no stream can have begun before the first servers of a pool are seen.
    is_first: bool,
}

impl History {
    /// Records that the deployment starts for the first time, so that no stream began before.
    pub const fn record_first_start(&mut self) {
        self.is_first = true;
    }

    /// Adds what an instance wrote into the store before. What this instance has seen by itself holds.
    pub fn load(&mut self, span: Span) {
        // The deployment has run before.
        self.is_first = false;
        if let Err(at) = self.find(&span.pool) {
            self.spans.insert(at, span);
        }
    }

    /// Records the servers that are listed now.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Software, Stamp};
    /// use core::time::Duration;
    /// use site::{History, Roster, roster::Server};
    /// let server = |id: &str, version: &str| Server {
    ///     id: id.into(),
    ///     pool: "ledger".into(),
    ///     address: "10.0.0.1:80".parse().unwrap(),
    ///     domain: "a".into(),
    ///     slots: 6,
    ///     leaving: false,
    ///     started_at_ms: 7,
    ///     version: Some(version.into()),
    /// };
    /// let (mut roster, mut history) = (Roster::default(), History::default());
    /// roster.insert(server("i-1", "v1"), 1);
    /// history.observe(Stamp::from_millis(5_000), &roster);
    /// let sole = |history: &History, now| {
    ///     history.sole(Stamp::from_millis(now), &"ledger".into(), Duration::from_secs(9)).cloned()
    /// };
    /// assert_eq!(sole(&history, 13_999), None);
    /// assert_eq!(sole(&history, 14_000), Some(Software::Version("v1".into())));
    /// roster.insert(server("i-2", "v2"), 1);
    /// history.observe(Stamp::from_millis(14_000), &roster);
    /// assert_eq!(sole(&history, 90_000), None);
    /// ```
    pub fn observe(&mut self, now: Stamp, roster: &Roster) {
        let mut pools: Vec<_> = roster.all().map(|server| &server.pool).collect();
        pools.sort_unstable();
        pools.dedup();
        for pool in pools {
            let software = roster.sole_software(pool);
            let since = if self.is_first { Stamp::default() } else { now };
            match self.find(pool) {
                Ok(at) if self.spans[at].software == software => continue,
                Ok(at) => {
                    self.spans[at].software = software;
                    self.spans[at].since = now;
                }
                Err(at) => {
                    let pool = pool.clone();
                    let span = Span {
                        pool,
                        software,
                        since,
                    };
                    self.spans.insert(at, span);
                }
            }
            if let Err(at) = self.unsaved.binary_search(pool) {
                self.unsaved.insert(at, pool.clone());
            }
        }
    }

    /// Records that servers may have come and gone unseen, so that only what is seen from now on counts.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Software, Stamp};
    /// use core::time::Duration;
    /// use site::{History, history::Span};
    /// let software = Some(Software::Version("v1".into()));
    /// let mut history = History::default();
    /// history.load(Span { pool: "ledger".into(), software, since: Stamp::default() });
    /// let sole = |history: &History| {
    ///     let now = Stamp::from_millis(9_000);
    ///     history.sole(now, &"ledger".into(), Duration::from_secs(5)).is_some()
    /// };
    /// assert!(sole(&history));
    /// history.restart(Stamp::from_millis(8_000));
    /// assert!(!sole(&history));
    /// ```
    pub fn restart(&mut self, now: Stamp) {
        self.is_first = false;
        for span in &mut self.spans {
            span.since = now;
        }
        self.unsaved = self.spans.iter().map(|span| span.pool.clone()).collect();
    }

    /// Returns the software that all servers of a pool have run for a time, if they have.
    pub fn sole(&self, now: Stamp, pool: &Name, time: Duration) -> Option<&Software> {
        let span = &self.spans[self.find(pool).ok()?];
        let software = span.software.as_ref();
        software.filter(|_| now - span.since >= time)
    }

    /// Returns the pools whose spans are not in the store.
    pub fn unsaved(&self) -> &[Name] {
        &self.unsaved
    }

    /// Returns the span of a pool.
    pub fn get(&self, pool: &Name) -> Option<&Span> {
        self.find(pool).ok().map(|at| &self.spans[at])
    }

    /// Records that a span is in the store, unless it has changed since.
    pub fn record_saved(&mut self, span: &Span) {
        if self.get(&span.pool) == Some(span)
            && let Ok(at) = self.unsaved.binary_search(&span.pool)
        {
            self.unsaved.remove(at);
        }
    }

    /// Records that the store may have lost what was written.
    pub fn record_store_restored(&mut self) {
        self.unsaved = self.spans.iter().map(|span| span.pool.clone()).collect();
    }

    fn find(&self, pool: &Name) -> Result<usize, usize> {
        self.spans.binary_search_by(|span| span.pool.cmp(pool))
    }
}
