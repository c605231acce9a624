//! The rows known of one origin.

use core::time::Duration;

use base::Tick;

use super::{News, VERSION_STEP};
use crate::{
    fact::{Fact, Id, Subject},
    summary::{Body, Delta, Row},
};

/// The rows known of one origin.
#[derive(Clone, Debug)]
pub(crate) struct Origin {
    /// The incarnation that publishes the rows.
    pub(crate) id: Id,
    /// All rows up to this version are known.
    pub(crate) version: u64,
    /// When the version last grew.
    pub(crate) last_heard: Tick,
    /// Whether its version is compared in exchanges.
    pub(crate) is_compared: bool,
    rows: Vec<StoredRow>,
}

#[derive(Clone, Debug)]
struct StoredRow {
    slot: u32,
    version: u64,
    /// The version at which anything but the load changed.
    full_version: u64,
    fact: Option<Fact>,
}

impl Origin {
    pub(super) fn new(id: Id, now: Tick) -> Self {
        Self {
            id,
            version: 0,
            last_heard: now,
            is_compared: true,
            rows: Vec::new(),
        }
    }

    /// Returns the facts of the origin, each with its age when the version last grew.
    pub(crate) fn facts(&self) -> impl Iterator<Item = (Duration, &Fact)> {
        // Rows of an introduction may be newer than the version that it claims to be complete for.
        let age = |row: &StoredRow| step_duration(self.version.saturating_sub(row.version));
        self.rows
            .iter()
            .filter_map(move |row| Some((age(row), row.fact.as_ref()?)))
    }

    /// Publishes a fact as this origin; a fact equal to the published one changes nothing.
    pub(super) fn publish(&mut self, fact: Fact) {
        let at = self.row_index(&fact);
        if self.rows[at].fact.as_ref() == Some(&fact) {
            return;
        }
        let version = self.advance();
        self.set(at, version, fact);
    }

    /// Publishes and withdraws many facts in one version, so that the version does not run ahead of time.
    pub(super) fn update(&mut self, published: Vec<Fact>, withdrawn: &[Subject]) {
        let version = self.advance();
        for subject in withdrawn {
            self.clear(version, subject);
        }
        for fact in published {
            let at = self.row_index(&fact);
            self.set(at, version, fact);
        }
    }

    fn set(&mut self, at: usize, version: u64, fact: Fact) {
        let row = &mut self.rows[at];
        let is_load_only = row
            .fact
            .as_ref()
            .is_some_and(|old| differs_only_in_load(old, &fact));
        row.version = version;
        if !is_load_only {
            row.full_version = version;
        }
        row.fact = Some(fact);
    }

    /// Withdraws the fact about a subject.
    pub(super) fn withdraw(&mut self, subject: &Subject) {
        if self.rows.iter().any(|row| row.is_about(subject)) {
            let version = self.advance();
            self.clear(version, subject);
        }
    }

    fn clear(&mut self, version: u64, subject: &Subject) {
        let Some(row) = self.rows.iter_mut().find(|row| row.is_about(subject)) else {
            return;
        };
        row.version = version;
        row.full_version = version;
        row.fact = None;
    }

    const fn advance(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// Returns the index of the row about the same subject as a fact, or of a free row.
    fn row_index(&mut self, fact: &Fact) -> usize {
        let subject = fact.subject();
        let found = self.rows.iter().position(|row| row.is_about(&subject));
        let free = || self.rows.iter().position(|row| row.fact.is_none());
        if let Some(at) = found.or_else(free) {
            return at;
        }
        let slot = u32::try_from(self.rows.len()).unwrap_or(u32::MAX);
        self.rows.push(StoredRow::empty(slot));
        self.rows.len() - 1
    }

    /// Returns the rows that changed after a version.
    pub(super) fn rows_since(&self, origin: usize, version: u64) -> Delta {
        let newer = self.rows.iter().filter(|row| row.version > version);
        Delta {
            origin,
            rows: newer.map(|row| row.to_row(version)).collect(),
        }
    }

    /// Returns the rows that introduce the origin, and the version up to which they are complete.
    ///
    /// Leaves out the lines of the platform's list, since there are many of them.
    pub(super) fn introduction(&self, origin: usize) -> (u64, Delta) {
        let mut delta = self.rows_since(origin, 0);
        let listed = |row: &StoredRow| matches!(row.fact, Some(Fact::Listed(_)));
        let Some(first) = self
            .rows
            .iter()
            .filter(|row| listed(row))
            .map(|row| row.version)
            .min()
        else {
            return (self.version, delta);
        };
        let version = first - 1;
        let known = |row: &Row| {
            let at = self
                .rows
                .binary_search_by_key(&row.slot, |stored| stored.slot);
            at.is_ok_and(|at| self.rows[at].full_version <= version)
        };
        delta.rows.retain(known);
        (version, delta)
    }

    /// Applies a row, and returns its fact if the row is new.
    pub(super) fn apply_row(&mut self, row: &Row) -> Option<News> {
        let at = match self
            .rows
            .binary_search_by_key(&row.slot, |stored| stored.slot)
        {
            Ok(at) if row.version <= self.rows[at].version => return None,
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, StoredRow::empty(row.slot));
                at
            }
        };
        let stored = &mut self.rows[at];
        stored.version = row.version;
        stored.apply(&row.body);
        let news = |fact| News {
            origin: self.id,
            age: step_duration(self.version.saturating_sub(row.version)),
            fact,
        };
        self.rows[at].fact.clone().map(news)
    }
}

impl StoredRow {
    const fn empty(slot: u32) -> Self {
        Self {
            slot,
            version: 0,
            full_version: 0,
            fact: None,
        }
    }

    fn is_about(&self, subject: &Subject) -> bool {
        self.fact
            .as_ref()
            .is_some_and(|fact| fact.is_about(subject))
    }

    /// Builds the row for a receiver that knows the origin up to a version.
    fn to_row(&self, known: u64) -> Row {
        let body = match &self.fact {
            None => Body::Withdrawn,
            Some(Fact::Server(server)) if self.full_version <= known => {
                Body::Load(server.load.unwrap_or_default())
            }
            Some(fact) => Body::Whole(fact.clone()),
        };
        Row {
            slot: self.slot,
            version: self.version,
            body,
        }
    }

    fn apply(&mut self, body: &Body) {
        match (body, &mut self.fact) {
            (Body::Load(load), Some(Fact::Server(server))) => server.load = Some(*load),
            (Body::Load(_), _) => {}
            (Body::Whole(fact), _) => {
                self.full_version = self.version;
                self.fact = Some(fact.clone());
            }
            (Body::Withdrawn, _) => {
                self.full_version = self.version;
                self.fact = None;
            }
        }
    }
}

fn step_duration(count: u64) -> Duration {
    VERSION_STEP.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}

fn differs_only_in_load(old: &Fact, new: &Fact) -> bool {
    match (old, new) {
        (Fact::Server(old), Fact::Server(new)) => {
            new.load.is_some()
                && old.incarnation == new.incarnation
                && old.address == new.address
                && old.pool == new.pool
                && old.domain == new.domain
                && old.state == new.state
        }
        _ => false,
    }
}
