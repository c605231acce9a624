//! Selects the period to show and builds its view.

use core::{fmt, time::Duration};

use base::{Digest, Name, Stamp};
use member::fact::{Domain, Tally};

use crate::{body, configs};

/// The sealed summaries and tallies of the latest periods, by failure domain.
#[derive(Clone, Debug)]
pub struct Screen {
    config: configs::screen::Screen,
    domains: Vec<History>,
}

#[derive(Clone, Debug)]
struct History {
    name: Name,
    /// Sealed summaries, by number of the period.
    summaries: Vec<Domain>,
    /// Sums over pipelines and stages, by number of the period.
    tallies: Vec<Tally>,
}

/// The view of one period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The number of the view.
    pub number: Number,
    /// The start of the period, by the wall clock.
    pub period_start: Stamp,
    /// The content as HTML, without number and age.
    pub body: String,
}

/// The number of a view: its period and the first bytes of the digest of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number {
    /// The period.
    pub period: u64,
    /// The first eight bytes of the digest of the content.
    pub digest_prefix: u64,
}

/// One failure domain in a view.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry<'a> {
    pub(crate) name: &'a Name,
    /// The summary that it sealed in the period; none if it was not received.
    pub(crate) summary: Option<&'a Domain>,
    /// Its sums over pipelines and stages, sealed for the period or the last one before it for which sums
    /// are sealed.
    pub(crate) tally: Option<&'a Tally>,
}

impl Screen {
    /// Returns a screen without any failure domains.
    pub const fn new(config: configs::screen::Screen) -> Self {
        Self {
            config,
            domains: Vec::new(),
        }
    }

    /// Adds a failure domain, so that it is shown as not heard if it sends no summaries.
    pub fn add_domain(&mut self, name: &Name) {
        self.history(name);
    }

    /// Inserts a sealed summary. Of several for the same period the first one is kept.
    pub fn insert_summary(&mut self, domain: &Domain) {
        let max = self.config.max_periods;
        let summaries = &mut self.history(&domain.name).summaries;
        if let Err(at) = summaries.binary_search_by_key(&domain.version, |one| one.version) {
            summaries.insert(at, domain.clone());
            let excess = summaries.len().saturating_sub(max);
            summaries.drain(..excess);
        }
    }

    /// Inserts the sealed sums of a failure domain. Of several for the same period the first are kept.
    pub fn insert_tally(&mut self, tally: &Tally) {
        let max = self.config.max_periods;
        let tallies = &mut self.history(&tally.domain).tallies;
        if let Err(at) = tallies.binary_search_by_key(&tally.version, |one| one.version) {
            tallies.insert(at, tally.clone());
            let excess = tallies.len().saturating_sub(max);
            tallies.drain(..excess);
        }
    }

    /// Returns the view to show at a time, or none while no failure domain is known.
    ///
    /// The view is of the latest settled period that is complete, that is, for which all known failure
    /// domains have sent a summary. Newer periods reach some instances before others, so their screens would
    /// differ; such a period is shown only if no settled one is complete, as after a start. If no period
    /// within the lag is complete, the view is of the oldest one, and the failure domains without a summary
    /// are marked as not heard: figures of earlier periods are not shown for them.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Stamp;
    /// use member::fact::Domain;
    /// use screen::{Screen, configs};
    /// let mut screen = Screen::new(configs::screen::Screen::default());
    /// screen.insert_summary(&Domain { name: "accra-1".into(), version: 12, ..Domain::default() });
    /// let view = screen.view(Stamp::from_millis(125_000)).unwrap();
    /// assert_eq!(view.number.period, 12);
    /// assert_eq!(view.age(Stamp::from_millis(125_000)).as_secs(), 5);
    /// ```
    pub fn view(&self, now: Stamp) -> Option<View> {
        if self.domains.is_empty() {
            return None;
        }
        let millis = u64::try_from(self.config.period.as_millis()).unwrap_or(u64::MAX);
        let current = now.as_millis() / millis.max(1);
        let oldest = current.saturating_sub(self.config.max_lag_periods);
        let is_complete = |period: &u64| {
            self.entries(*period)
                .iter()
                .all(|entry| entry.summary.is_some())
        };
        let settled = current.saturating_sub(self.config.settle_periods);
        let mut newer = settled + 1..=current;
        let period = (oldest..=settled).rev().find(is_complete);
        let period = period.or_else(|| newer.find(is_complete)).unwrap_or(oldest);
        let body = body::html(&self.entries(period));
        let digest_prefix = Digest::of(body.as_bytes()).prefix();
        Some(View {
            number: Number {
                period,
                digest_prefix,
            },
            period_start: Stamp::from_millis(period * millis),
            body,
        })
    }

    fn entries(&self, period: u64) -> Vec<Entry<'_>> {
        self.domains
            .iter()
            .map(|history| history.entry(period))
            .collect()
    }

    fn history(&mut self, name: &Name) -> &mut History {
        let at = match self
            .domains
            .binary_search_by(|history| history.name.cmp(name))
        {
            Ok(at) => at,
            Err(at) => {
                self.domains.insert(at, History::new(name));
                at
            }
        };
        &mut self.domains[at]
    }
}

impl History {
    fn new(name: &Name) -> Self {
        Self {
            name: name.clone(),
            summaries: Vec::new(),
            tallies: Vec::new(),
        }
    }

    fn entry(&self, period: u64) -> Entry<'_> {
        let at = self
            .summaries
            .binary_search_by_key(&period, |one| one.version);
        let version = Tally::version_at(period);
        let tally = self
            .tallies
            .binary_search_by_key(&version, |one| one.version);
        Entry {
            name: &self.name,
            summary: at.ok().map(|at| &self.summaries[at]),
            tally: tally.ok().map(|at| &self.tallies[at]),
        }
    }
}

impl View {
    /// Returns the time since the start of the period.
    pub fn age(&self, now: Stamp) -> Duration {
        now - self.period_start
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:08x}", self.period, self.digest_prefix >> 32)
    }
}
