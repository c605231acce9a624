//! What is held of one origin.

use core::time::Duration;

use base::Tick;

use super::{News, STEP};
use crate::{
    fact::{Fact, Id, Subject},
    summary::{Body, Delta, Row},
};

/// What is held of one origin.
#[derive(Clone, Debug)]
pub(crate) struct Origin {
    /// The incarnation that tells the rows.
    pub(crate) id: Id,
    /// Everything up to this version is held.
    pub(crate) version: u64,
    /// When the version last grew.
    pub(crate) heard: Tick,
    /// Whether it counts among the origins that are compared.
    pub(crate) counted: bool,
    rows: Vec<Held>,
}

#[derive(Clone, Debug)]
struct Held {
    slot: u32,
    version: u64,
    /// Version at which anything but the load changed.
    detailed: u64,
    fact: Option<Fact>,
}

impl Origin {
    pub(super) fn new(id: Id, now: Tick) -> Self {
        Self {
            id,
            version: 0,
            heard: now,
            counted: true,
            rows: Vec::new(),
        }
    }

    /// Returns the facts that the origin tells, with their age when it last spoke.
    pub(crate) fn facts(&self) -> impl Iterator<Item = (Duration, &Fact)> {
        // Rows of an introduction may be newer than what it vouches for.
        let age = |held: &Held| steps(self.version.saturating_sub(held.version));
        self.rows
            .iter()
            .filter_map(move |held| Some((age(held), held.fact.as_ref()?)))
    }

    /// Tells a fact as this origin; one equal to the fact told before changes nothing.
    pub(super) fn tell(&mut self, fact: Fact) {
        let at = self.place(&fact);
        if self.rows[at].fact.as_ref() == Some(&fact) {
            return;
        }
        let version = self.advance();
        self.set(at, version, fact);
    }

    /// Tells and takes back many facts in one step of the version, so that it does not run ahead of time.
    pub(super) fn update(&mut self, told: Vec<Fact>, withdrawn: &[Subject]) {
        let version = self.advance();
        for subject in withdrawn {
            self.clear(version, subject);
        }
        for fact in told {
            let at = self.place(&fact);
            self.set(at, version, fact);
        }
    }

    fn set(&mut self, at: usize, version: u64, fact: Fact) {
        let held = &mut self.rows[at];
        let light = held
            .fact
            .as_ref()
            .is_some_and(|old| same_but_load(old, &fact));
        held.version = version;
        if !light {
            held.detailed = version;
        }
        held.fact = Some(fact);
    }

    /// Takes back what was told about a subject.
    pub(super) fn withdraw(&mut self, subject: &Subject) {
        if self.rows.iter().any(|held| held.about(subject)) {
            let version = self.advance();
            self.clear(version, subject);
        }
    }

    fn clear(&mut self, version: u64, subject: &Subject) {
        let Some(held) = self.rows.iter_mut().find(|held| held.about(subject)) else {
            return;
        };
        held.version = version;
        held.detailed = version;
        held.fact = None;
    }

    const fn advance(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// Finds the row about the same subject as a fact, or a free one.
    fn place(&mut self, fact: &Fact) -> usize {
        let subject = fact.subject();
        let found = self.rows.iter().position(|held| held.about(&subject));
        let free = || self.rows.iter().position(|held| held.fact.is_none());
        if let Some(at) = found.or_else(free) {
            return at;
        }
        let slot = u32::try_from(self.rows.len()).unwrap_or(u32::MAX);
        self.rows.push(Held::empty(slot));
        self.rows.len() - 1
    }

    /// Returns the rows that changed after a version.
    pub(super) fn since(&self, origin: usize, version: u64) -> Delta {
        let newer = self.rows.iter().filter(|held| held.version > version);
        Delta {
            origin,
            rows: newer.map(|held| held.row(version)).collect(),
        }
    }

    /// Returns rows that introduce the origin, and the version up to which they are complete.
    ///
    /// All of them as a rule. The lines of the platform's list stay out, as they are many.
    pub(super) fn introduction(&self, origin: usize) -> (u64, Delta) {
        let mut delta = self.since(origin, 0);
        let listed = |held: &Held| matches!(held.fact, Some(Fact::Listed(_)));
        let Some(first) = self
            .rows
            .iter()
            .filter(|held| listed(held))
            .map(|held| held.version)
            .min()
        else {
            return (self.version, delta);
        };
        let version = first - 1;
        let known = |row: &Row| {
            let at = self.rows.binary_search_by_key(&row.slot, |held| held.slot);
            at.is_ok_and(|at| self.rows[at].detailed <= version)
        };
        delta.rows.retain(known);
        (version, delta)
    }

    /// Takes a row in, and returns its fact where it is new.
    pub(super) fn put(&mut self, row: &Row) -> Option<News> {
        let at = match self.rows.binary_search_by_key(&row.slot, |held| held.slot) {
            Ok(at) if row.version <= self.rows[at].version => return None,
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, Held::empty(row.slot));
                at
            }
        };
        let held = &mut self.rows[at];
        held.version = row.version;
        held.take(&row.body);
        let news = |fact| News {
            origin: self.id,
            age: steps(self.version.saturating_sub(row.version)),
            fact,
        };
        self.rows[at].fact.clone().map(news)
    }
}

impl Held {
    const fn empty(slot: u32) -> Self {
        Self {
            slot,
            version: 0,
            detailed: 0,
            fact: None,
        }
    }

    fn about(&self, subject: &Subject) -> bool {
        self.fact
            .as_ref()
            .is_some_and(|fact| fact.is_about(subject))
    }

    fn row(&self, known: u64) -> Row {
        let body = match &self.fact {
            None => Body::Withdrawn,
            Some(Fact::Server(server)) if self.detailed <= known => {
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

    fn take(&mut self, body: &Body) {
        match (body, &mut self.fact) {
            (Body::Load(load), Some(Fact::Server(server))) => server.load = Some(*load),
            (Body::Load(_), _) => {}
            (Body::Whole(fact), _) => {
                self.detailed = self.version;
                self.fact = Some(fact.clone());
            }
            (Body::Withdrawn, _) => {
                self.detailed = self.version;
                self.fact = None;
            }
        }
    }
}

fn steps(count: u64) -> Duration {
    STEP.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}

fn same_but_load(old: &Fact, new: &Fact) -> bool {
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
