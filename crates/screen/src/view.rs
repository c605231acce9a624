//! The choice of a period, and what it shows.

use core::{fmt, time::Duration};

use base::{Digest, Name, Stamp};
use member::fact::{Domain, Tally};

use crate::{body, configs};

/// The sealed summaries of the latest periods, by failure domain.
#[derive(Clone, Debug)]
pub struct Screen {
    config: configs::screen::Screen,
    domains: Vec<Kept>,
}

#[derive(Clone, Debug)]
struct Kept {
    name: Name,
    /// By number of the period.
    sealed: Vec<Domain>,
    /// Its sums over pipelines and stages, by number of the period.
    tallies: Vec<Tally>,
}

/// What a screen shows of one period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Its number.
    pub number: Number,
    /// When the period began, by the wall clock.
    pub period_start: Stamp,
    /// The content as HTML, without number and age.
    pub body: String,
}

/// The number of a view: its period, and the head of the digest of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number {
    /// The period.
    pub period: u64,
    /// The head of the digest.
    pub digest_prefix: u64,
}

/// One failure domain in a view.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part<'a> {
    pub(crate) name: &'a Name,
    /// What it sealed in the period; none where that was not heard.
    pub(crate) sealed: Option<&'a Domain>,
    /// Its sums over pipelines and stages, sealed for the period or the last one before it for which that is done.
    pub(crate) tally: Option<&'a Tally>,
}

impl Screen {
    /// Opens a screen that has heard nothing.
    pub const fn new(config: configs::screen::Screen) -> Self {
        Self {
            config,
            domains: Vec::new(),
        }
    }

    /// Notes that a failure domain exists, so that its silence shows.
    pub fn add_domain(&mut self, name: &Name) {
        self.kept(name);
    }

    /// Takes in a sealed summary; the first one of a period counts.
    pub fn insert_summary(&mut self, domain: &Domain) {
        let most = self.config.max_periods;
        let sealed = &mut self.kept(&domain.name).sealed;
        if let Err(at) = sealed.binary_search_by_key(&domain.version, |one| one.version) {
            sealed.insert(at, domain.clone());
            let over = sealed.len().saturating_sub(most);
            sealed.drain(..over);
        }
    }

    /// Takes in the sums of a failure domain; the first ones of a period count.
    pub fn insert_tally(&mut self, tally: &Tally) {
        let most = self.config.max_periods;
        let kept = &mut self.kept(&tally.domain).tallies;
        if let Err(at) = kept.binary_search_by_key(&tally.version, |one| one.version) {
            kept.insert(at, tally.clone());
            let over = kept.len().saturating_sub(most);
            kept.drain(..over);
        }
    }

    /// Returns the view to show at a time, or none while no failure domain is known.
    ///
    /// It is of the latest period that all known failure domains have told and that has settled: newer ones are
    /// known to some instances before others, whose screens would differ. They are shown only where no
    /// settled one is whole, as after a start. Where there is none within the lag, it is of the period at the lag, and those that did not tell are marked as not heard: their
    /// figures of earlier periods are not shown.
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
        let last = current.saturating_sub(self.config.max_lag_periods);
        let whole = |period: &u64| self.parts(*period).iter().all(|part| part.sealed.is_some());
        let settled = current.saturating_sub(self.config.settle_periods);
        let mut newer = settled + 1..=current;
        let period = (last..=settled).rev().find(whole);
        let period = period.or_else(|| newer.find(whole)).unwrap_or(last);
        let body = body::html(&self.parts(period));
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

    fn parts(&self, period: u64) -> Vec<Part<'_>> {
        self.domains.iter().map(|kept| kept.part(period)).collect()
    }

    fn kept(&mut self, name: &Name) -> &mut Kept {
        let at = match self.domains.binary_search_by(|kept| kept.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                self.domains.insert(at, Kept::new(name));
                at
            }
        };
        &mut self.domains[at]
    }
}

impl Kept {
    fn new(name: &Name) -> Self {
        Self {
            name: name.clone(),
            sealed: Vec::new(),
            tallies: Vec::new(),
        }
    }

    fn part(&self, period: u64) -> Part<'_> {
        let at = self.sealed.binary_search_by_key(&period, |one| one.version);
        let version = Tally::version_at(period);
        let tally = self
            .tallies
            .binary_search_by_key(&version, |one| one.version);
        Part {
            name: &self.name,
            sealed: at.ok().map(|at| &self.sealed[at]),
            tally: tally.ok().map(|at| &self.tallies[at]),
        }
    }
}

impl View {
    /// Returns how long ago the period began.
    pub fn age(&self, now: Stamp) -> Duration {
        now - self.period_start
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:08x}", self.period, self.digest_prefix >> 32)
    }
}
