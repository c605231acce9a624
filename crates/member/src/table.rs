//! Versioned rows by origin, so that an exchange carries only the rows that the other end lacks.

mod origin;

use core::time::Duration;

use base::{Digest, Tick};

use crate::{
    fact::{Fact, Id, Subject},
    summary::{Delta, Row, Summary},
};

pub(crate) use self::origin::Origin;

/// The time by which a version grows by one.
pub(crate) const VERSION_STEP: Duration = Duration::from_millis(100);

/// The known rows of every origin, including this instance.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    own: Id,
    /// The time of this instance's first version, and that version.
    start: Option<(Tick, u64)>,
    origins: Vec<Origin>,
}

/// A new fact of an origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct News {
    /// The origin.
    pub(crate) origin: Id,
    /// The age of the fact at the origin's current version.
    pub(crate) age: Duration,
    /// The fact.
    pub(crate) fact: Fact,
}

impl Table {
    /// Builds an empty table for one instance.
    pub(crate) fn new(own: Id, now: Tick) -> Self {
        let origin = Origin::new(own, now);
        Self {
            own,
            start: None,
            origins: vec![origin],
        }
    }

    /// Publishes a fact of this instance.
    ///
    /// A fact equal to the published one changes nothing.
    pub(crate) fn publish(&mut self, fact: Fact) {
        self.own_mut().publish(fact);
    }

    /// Publishes and withdraws many facts of this instance at once.
    pub(crate) fn update(&mut self, published: Vec<Fact>, withdrawn: &[Subject]) {
        self.own_mut().update(published, withdrawn);
    }

    /// Withdraws this instance's fact about a subject.
    pub(crate) fn withdraw(&mut self, subject: &Subject) {
        self.own_mut().withdraw(subject);
    }

    /// Advances this instance's version with the monotonic time, as a heartbeat.
    ///
    /// Only the first version comes from the wall clock, since that clock may jump later.
    pub(crate) fn advance_version(&mut self, now: Tick, first: u64) {
        let (start, first) = *self.start.get_or_insert((now, first));
        let steps = (now - start).as_millis() / VERSION_STEP.as_millis();
        let steps = u64::try_from(steps).unwrap_or(u64::MAX);
        let own = self.own_mut();
        own.version = own.version.max(first.saturating_add(steps));
        own.last_heard = now;
    }

    /// Returns the digest of the ids of the compared origins.
    pub(crate) fn origins_digest(&self) -> u64 {
        let bytes: Vec<u8> = self
            .compared()
            .flat_map(|one| one.id.0.to_be_bytes())
            .collect();
        Digest::of(&bytes).prefix()
    }

    /// Builds a request for rows that are newer than the table.
    ///
    /// If the receiver may know other origins, the request lists the ids and includes this instance's own
    /// rows, since the receiver may not know this instance at all.
    pub(crate) fn request(&self, has_same_origins: bool) -> Summary {
        let mut summary = self.versions(!has_same_origins);
        if !has_same_origins {
            let own = self
                .compared()
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

    /// Builds the answer to a request: the rows that the requester lacks.
    ///
    /// The answer has no versions if the request lists no ids and knows other origins, since its versions
    /// cannot be assigned to origins.
    pub(crate) fn answer(&self, request: &Summary) -> Summary {
        let own_digest = self.origins_digest();
        let known = match (
            request.origins.is_empty(),
            request.origins_digest == own_digest,
        ) {
            (true, false) => {
                return Summary {
                    sender: self.own,
                    origins_digest: own_digest,
                    ..Summary::default()
                };
            }
            (true, true) => self
                .compared()
                .map(|one| one.id)
                .zip(request.versions.iter().copied())
                .collect(),
            (false, _) => version_pairs(request),
        };
        let mut summary = self.versions(request.origins_digest != own_digest);
        summary.deltas = self.deltas(request.sender, &known);
        summary
    }

    /// Merges the answer to an own request, or the rows of a request, and returns the new facts.
    ///
    /// Versions are adopted only for origins whose rows are complete: all origins in an answer, only the
    /// sender in a request.
    pub(crate) fn merge(&mut self, now: Tick, summary: &Summary, is_answer: bool) -> Vec<News> {
        let ids: Vec<Id> = match summary.origins.is_empty() {
            true if summary.origins_digest == self.origins_digest() => {
                self.compared().map(|one| one.id).collect()
            }
            true => return Vec::new(),
            false => summary.origins.clone(),
        };
        let is_complete =
            |id: Id| is_answer || (id == summary.sender && !summary.origins.is_empty());
        let mut news = Vec::new();
        for (at, (id, version)) in ids.iter().zip(&summary.versions).enumerate() {
            if *id == self.own || !is_complete(*id) {
                continue;
            }
            let delta = summary.deltas.iter().find(|delta| delta.origin == at);
            let rows = delta.map_or(&[][..], |delta| &delta.rows);
            self.merge_origin(now, *id, *version, rows, &mut news);
        }
        news
    }

    /// Stops comparing origins not heard from since an instant, and removes those not heard from since an
    /// earlier one.
    ///
    /// The rows of an origin that is no longer compared are kept for a while, since an answer in flight
    /// may build on them.
    pub(crate) fn prune(&mut self, compared_since: Tick, kept_since: Tick) {
        let own = self.own;
        for origin in &mut self.origins {
            origin.is_compared = origin.id == own || origin.last_heard >= compared_since;
        }
        self.origins
            .retain(|one| one.id == own || one.last_heard >= kept_since);
    }

    /// Returns the origins, by id.
    pub(crate) fn origins(&self) -> &[Origin] {
        &self.origins
    }

    /// Returns the origin with an id.
    pub(crate) fn origin(&self, id: Id) -> Option<&Origin> {
        self.find(id).ok().map(|at| &self.origins[at])
    }

    fn merge_origin(
        &mut self,
        now: Tick,
        id: Id,
        version: u64,
        rows: &[Row],
        news: &mut Vec<News>,
    ) {
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
        origin.last_heard = now;
        origin.is_compared = true;
        for row in rows {
            news.extend(origin.apply_row(row));
        }
    }

    fn versions(&self, lists_ids: bool) -> Summary {
        let ids = self.compared().map(|one| one.id);
        Summary {
            sender: self.own,
            origins_digest: self.origins_digest(),
            versions: self.compared().map(|one| one.version).collect(),
            origins: if lists_ids { ids.collect() } else { Vec::new() },
            ..Summary::default()
        }
    }

    /// Returns the rows that the requester lacks, without its own rows.
    fn deltas(&self, requester: Id, known: &[(Id, u64)]) -> Vec<Delta> {
        let version = |id: Id| {
            known
                .binary_search_by_key(&id, |pair| pair.0)
                .map_or(0, |at| known[at].1)
        };
        let deltas = self
            .compared()
            .enumerate()
            .filter(|(_, one)| one.id != requester)
            .map(|(at, one)| one.rows_since(at, version(one.id)));
        deltas.filter(|delta| !delta.rows.is_empty()).collect()
    }

    fn compared(&self) -> impl Iterator<Item = &Origin> {
        self.origins.iter().filter(|one| one.is_compared)
    }

    fn own_mut(&mut self) -> &mut Origin {
        let at = self.find(self.own).unwrap_or_default();
        &mut self.origins[at]
    }

    fn find(&self, id: Id) -> Result<usize, usize> {
        self.origins.binary_search_by_key(&id, |one| one.id)
    }
}

fn version_pairs(summary: &Summary) -> Vec<(Id, u64)> {
    let ids = summary.origins.iter().copied();
    ids.zip(summary.versions.iter().copied()).collect()
}
