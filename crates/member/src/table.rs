//! Rows by origin, with versions, so that an exchange carries only what the other end lacks.

mod origin;

use core::time::Duration;

use base::{Digest, Tick};

use crate::{
    fact::{Fact, Id, Subject},
    summary::{Delta, Row, Summary},
};

pub(crate) use self::origin::Origin;

/// Length of one step of a version.
pub(crate) const STEP: Duration = Duration::from_millis(100);

/// What is held of every origin, the holder's own rows among them.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    own: Id,
    /// When the holder first spoke, and its version then.
    start: Option<(Tick, u64)>,
    origins: Vec<Origin>,
}

/// A fact that an origin told, and how long before its latest word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct News {
    /// The origin.
    pub(crate) origin: Id,
    /// How long the fact had stood when the origin last spoke.
    pub(crate) age: Duration,
    /// The fact.
    pub(crate) fact: Fact,
}

impl Table {
    /// Builds a table that holds nothing yet, for one instance.
    pub(crate) fn new(own: Id, now: Tick) -> Self {
        let origin = Origin::new(own, now);
        Self {
            own,
            start: None,
            origins: vec![origin],
        }
    }

    /// Tells a fact under the holder's own name.
    ///
    /// A fact equal to the one told before changes nothing.
    pub(crate) fn tell(&mut self, fact: Fact) {
        self.own_mut().tell(fact);
    }

    /// Tells and takes back many facts at once.
    pub(crate) fn update(&mut self, told: Vec<Fact>, withdrawn: &[Subject]) {
        self.own_mut().update(told, withdrawn);
    }

    /// Takes back what the holder told about a subject.
    pub(crate) fn withdraw(&mut self, subject: &Subject) {
        self.own_mut().withdraw(subject);
    }

    /// Lets the holder's own version grow with the monotonic time, as a sign of life.
    ///
    /// The first version comes from the wall clock; that clock may jump afterwards.
    pub(crate) fn beat(&mut self, now: Tick, first: u64) {
        let (began, first) = *self.start.get_or_insert((now, first));
        let steps = (now - began).as_millis() / STEP.as_millis();
        let steps = u64::try_from(steps).unwrap_or(u64::MAX);
        let own = self.own_mut();
        own.version = own.version.max(first.saturating_add(steps));
        own.heard = now;
    }

    /// Returns the digest of the ids that are compared.
    pub(crate) fn roster(&self) -> u64 {
        let bytes: Vec<u8> = self
            .counted()
            .flat_map(|one| one.id.0.to_be_bytes())
            .collect();
        Digest::of(&bytes).prefix()
    }

    /// Builds a request for what is newer than the table.
    ///
    /// Where the ids have to be spelt out, the holder's own rows go with them: the receiver may not know
    /// the holder at all.
    pub(crate) fn request(&self, agreed: bool) -> Summary {
        let mut summary = self.versions(!agreed);
        if !agreed {
            let own = self
                .counted()
                .enumerate()
                .find(|(_, one)| one.id == self.own);
            if let Some((at, own)) = own {
                let (version, delta) = own.introduction(at);
                summary.versions[at] = version;
                summary.deltas = vec![delta];
            }
        }
        summary
    }

    /// Builds the answer to a request: rows that the asker lacks.
    ///
    /// The answer has no versions where the asker's cannot be told apart, as its roster is another.
    pub(crate) fn answer(&self, request: &Summary) -> Summary {
        let roster = self.roster();
        let held = match (request.origins.is_empty(), request.origins_digest == roster) {
            (true, false) => {
                return Summary {
                    sender: self.own,
                    origins_digest: roster,
                    ..Summary::default()
                };
            }
            (true, true) => self
                .counted()
                .map(|one| one.id)
                .zip(request.versions.iter().copied())
                .collect(),
            (false, _) => pairs(request),
        };
        let mut summary = self.versions(request.origins_digest != roster);
        summary.deltas = self.deltas(request.sender, &held);
        summary
    }

    /// Takes in an answer to an own request, or rows that came with a request.
    ///
    /// Returns the facts that are new. Versions are taken over only for origins whose rows are complete: in an
    /// answer all of them, in a request the sender's own.
    pub(crate) fn merge(&mut self, now: Tick, summary: &Summary, answered: bool) -> Vec<News> {
        let ids: Vec<Id> = match summary.origins.is_empty() {
            true if summary.origins_digest == self.roster() => {
                self.counted().map(|one| one.id).collect()
            }
            true => return Vec::new(),
            false => summary.origins.clone(),
        };
        let whole = |id: Id| answered || (id == summary.sender && !summary.origins.is_empty());
        let mut news = Vec::new();
        for (at, (id, version)) in ids.iter().zip(&summary.versions).enumerate() {
            if *id == self.own || !whole(*id) {
                continue;
            }
            let delta = summary.deltas.iter().find(|delta| delta.origin == at);
            let rows = delta.map_or(&[][..], |delta| &delta.rows);
            self.take(now, *id, *version, rows, &mut news);
        }
        news
    }

    /// Stops comparing origins unheard since an instant, and forgets those unheard since an earlier one.
    ///
    /// The rows of an origin that is no longer compared are kept for a while: an answer on its way
    /// may build on them.
    pub(crate) fn sweep(&mut self, counted: Tick, kept: Tick) {
        let own = self.own;
        for origin in &mut self.origins {
            origin.counted = origin.id == own || origin.heard >= counted;
        }
        self.origins
            .retain(|one| one.id == own || one.heard >= kept);
    }

    /// Returns the origins, by id.
    pub(crate) fn origins(&self) -> &[Origin] {
        &self.origins
    }

    /// Returns what is held of an origin.
    pub(crate) fn origin(&self, id: Id) -> Option<&Origin> {
        self.find(id).ok().map(|at| &self.origins[at])
    }

    fn take(&mut self, now: Tick, id: Id, version: u64, rows: &[Row], news: &mut Vec<News>) {
        let at = match self.find(id) {
            Ok(at) => at,
            Err(at) => {
                self.origins.insert(at, Origin::new(id, now));
                at
            }
        };
        let origin = &mut self.origins[at];
        if version <= origin.version {
            return;
        }
        origin.version = version;
        origin.heard = now;
        origin.counted = true;
        for row in rows {
            news.extend(origin.put(row));
        }
    }

    fn versions(&self, spelt: bool) -> Summary {
        let ids = self.counted().map(|one| one.id);
        Summary {
            sender: self.own,
            origins_digest: self.roster(),
            versions: self.counted().map(|one| one.version).collect(),
            origins: if spelt { ids.collect() } else { Vec::new() },
            ..Summary::default()
        }
    }

    /// Returns the rows that the asker lacks; its own ones it has.
    fn deltas(&self, asker: Id, held: &[(Id, u64)]) -> Vec<Delta> {
        let version = |id: Id| {
            held.binary_search_by_key(&id, |pair| pair.0)
                .map_or(0, |at| held[at].1)
        };
        let deltas = self
            .counted()
            .enumerate()
            .filter(|(_, one)| one.id != asker)
            .map(|(at, one)| one.since(at, version(one.id)));
        deltas.filter(|delta| !delta.rows.is_empty()).collect()
    }

    fn counted(&self) -> impl Iterator<Item = &Origin> {
        self.origins.iter().filter(|one| one.counted)
    }

    fn own_mut(&mut self) -> &mut Origin {
        let at = self.find(self.own).unwrap_or_default();
        &mut self.origins[at]
    }

    fn find(&self, id: Id) -> Result<usize, usize> {
        self.origins.binary_search_by_key(&id, |one| one.id)
    }
}

fn pairs(summary: &Summary) -> Vec<(Id, u64)> {
    let ids = summary.origins.iter().copied();
    ids.zip(summary.versions.iter().copied()).collect()
}
