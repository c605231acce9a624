//! Tracks the failure domains that the operator has evacuated, whose servers get no work.
//!
//! The source of truth is the operator's topic in the platform's store. Instances that read it record what they read, and
//! the others record what these tell them. Of two states, the one with the newer position in the topic holds. A store that
//! is restored from an older copy begins an era: an evacuation that the copy lacks stays in force for a grace period, in
//! which its writer can write it again.

use core::time::Duration;

use base::{Name, Stamp, Tick};
use mesh::Position;

/// One evacuated failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The failure domain.
    pub domain: Name,
    /// The time of day since which it is evacuated, as far as it is known.
    pub since: Stamp,
    /// When the evacuation ends by itself, if a restored store lacks its record.
    pub until: Option<Tick>,
}

impl Evacuation {
    fn is_in_force(&self, now: Tick) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// What an instance tells another one of the evacuations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// The position in the operator's topic up to which the records are known.
    pub position: Position,
    /// The domains in force.
    pub evacuations: Vec<Evacuation>,
}

/// A change of the domains in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// No more work goes to the domain.
    Evacuated(Name),
    /// The domain gets work again.
    Revoked(Name),
}

/// The evacuated failure domains.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// The position in the operator's topic up to which the records are known, or none before any were.
    position: Option<Position>,
    /// The evacuations of the newest position, and those that are held after a restore; sorted by domain.
    known: Vec<Evacuation>,
    /// The domains whose held evacuation has ended in this era. Slower instances may still hold them.
    ended: Vec<Name>,
}

impl Evacuations {
    /// Returns the position up to which the operator's records are known, or `None` before any were read.
    pub const fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns whether a domain is evacuated.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::{Stamp, Tick};
    /// use mesh::Position;
    /// use site::Evacuations;
    /// let (now, clock) = (Tick::from_millis(5), Stamp::from_millis(1_000));
    /// let mut evacuations = Evacuations::default();
    /// let position = Position { era: 1, offset: 8 };
    /// let grace = Duration::from_secs(3);
    /// evacuations.record_read(now, clock, grace, position, &["a".into()], &[]);
    /// assert!(evacuations.contains(now, &"a".into()));
    /// assert!(!evacuations.contains(now, &"b".into()));
    /// ```
    pub fn contains(&self, now: Tick, domain: &Name) -> bool {
        self.find(domain)
            .is_ok_and(|at| self.known[at].is_in_force(now))
    }

    /// Returns the evacuations in force, sorted by domain.
    pub fn in_force(&self, now: Tick) -> impl Iterator<Item = &Evacuation> {
        let known = self.known.iter();
        known.filter(move |evacuation| evacuation.is_in_force(now))
    }

    /// Returns what other instances are told, or `None` before anything is known.
    pub fn news(&self, now: Tick) -> Option<News> {
        Some(News {
            position: self.position?,
            evacuations: self.in_force(now).cloned().collect(),
        })
    }

    /// Records the domains that the store lists at a position, and those whose records were read to be deleted, and
    /// returns the changes. A state older than the known one is ignored.
    pub fn record_read(
        &mut self,
        now: Tick,
        clock: Stamp,
        grace: Duration,
        position: Position,
        listed: &[Name],
        deleted: &[Name],
    ) -> Vec<Change> {
        if self.position.is_some_and(|known| position < known) {
            return Vec::new();
        }
        let listed = listed.iter().map(|domain| Evacuation {
            domain: domain.clone(),
            since: clock,
            until: None,
        });
        let before = self.domains(now);
        self.replace(now, grace, position, listed.collect());
        for domain in deleted {
            if let Ok(at) = self.find(domain)
                && self.known[at].until.is_some()
            {
                self.known.remove(at);
                self.ended.push(domain.clone());
            }
        }
        self.changes_since(now, &before)
    }

    /// Records what another instance knows, and returns the changes. A state that is not newer than the known one is
    /// ignored, but for evacuations that the other instance holds after a restore in the same era.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::{Stamp, Tick};
    /// use mesh::Position;
    /// use site::{Evacuations, evacuation::{Change, Evacuation, News}};
    /// let news = |offset, domains: &[&str]| News {
    ///     position: Position { era: 1, offset },
    ///     evacuations: domains.iter().map(|domain| Evacuation {
    ///         domain: (*domain).into(),
    ///         since: Stamp::from_millis(7),
    ///         until: None,
    ///     }).collect(),
    /// };
    /// let (now, grace) = (Tick::from_millis(5), Duration::from_secs(3));
    /// let mut evacuations = Evacuations::default();
    /// let changes = evacuations.record_news(now, grace, news(8, &["a"]));
    /// assert_eq!(changes, [Change::Evacuated("a".into())]);
    /// assert_eq!(evacuations.record_news(now, grace, news(6, &[])), []);
    /// let changes = evacuations.record_news(now, grace, news(9, &[]));
    /// assert_eq!(changes, [Change::Revoked("a".into())]);
    /// ```
    pub fn record_news(&mut self, now: Tick, grace: Duration, news: News) -> Vec<Change> {
        let known = self.position.unwrap_or_default();
        if self.position.is_some() && news.position.era < known.era {
            return Vec::new();
        }
        let before = self.domains(now);
        let (listed, held): (Vec<_>, Vec<_>) = news
            .evacuations
            .into_iter()
            .partition(|evacuation| evacuation.until.is_none());
        if self.position.is_none() || known < news.position {
            self.replace(now, grace, news.position, listed);
        }
        for mut evacuation in held {
            let until = evacuation.until.unwrap_or(now).min(now + grace);
            evacuation.until = Some(until);
            if let Err(at) = self.find(&evacuation.domain)
                && !self.ended.contains(&evacuation.domain)
                && now < until
            {
                self.known.insert(at, evacuation);
            }
        }
        self.changes_since(now, &before)
    }

    /// Removes the evacuations whose grace period after a restore has ended, and returns the changes.
    pub fn sweep(&mut self, now: Tick) -> Vec<Change> {
        let (kept, ended) = core::mem::take(&mut self.known)
            .into_iter()
            .partition(|evacuation| evacuation.is_in_force(now));
        self.known = kept;
        let ended: Vec<Evacuation> = ended;
        let domains = ended.into_iter().map(|evacuation| evacuation.domain);
        let domains: Vec<_> = domains.collect();
        self.ended.extend(domains.iter().cloned());
        domains.into_iter().map(Change::Revoked).collect()
    }

    /// Replaces the evacuations by those of a position. Those that are missing after a restore are held.
    fn replace(&mut self, now: Tick, grace: Duration, position: Position, listed: Vec<Evacuation>) {
        let is_restored = self.position.is_some_and(|known| known.era < position.era);
        if is_restored {
            self.ended.clear();
        }
        self.position = Some(position);
        let before = core::mem::replace(&mut self.known, listed);
        self.known.sort_by(|a, b| a.domain.cmp(&b.domain));
        self.known.dedup_by(|a, b| a.domain == b.domain);
        for mut evacuation in before {
            match self.find(&evacuation.domain) {
                Ok(at) => {
                    let since = &mut self.known[at].since;
                    *since = evacuation.since.min(*since);
                }
                Err(at) if is_restored || evacuation.until.is_some() => {
                    evacuation.until.get_or_insert(now + grace);
                    self.known.insert(at, evacuation);
                }
                Err(_) => {}
            }
        }
    }

    fn domains(&self, now: Tick) -> Vec<Name> {
        let known = self.in_force(now);
        known.map(|evacuation| evacuation.domain.clone()).collect()
    }

    fn changes_since(&self, now: Tick, before: &[Name]) -> Vec<Change> {
        let after = self.domains(now);
        let begun = after
            .iter()
            .filter(|domain| before.binary_search(domain).is_err());
        let ended = before
            .iter()
            .filter(|domain| after.binary_search(domain).is_err());
        let begun = begun.cloned().map(Change::Evacuated);
        begun.chain(ended.cloned().map(Change::Revoked)).collect()
    }

    fn find(&self, domain: &Name) -> Result<usize, usize> {
        self.known
            .binary_search_by(|evacuation| evacuation.domain.cmp(domain))
    }
}
