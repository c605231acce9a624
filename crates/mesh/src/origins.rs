//! Remembers which software began streams, and determines the instances that share this knowledge.
//!
//! A stream may be taken up at any instance, also after the one that began it is gone. So an origin is recorded at two
//! further instances, which rendezvous hashing of the stream's id determines for all instances alike. Only a few
//! instances of each failure domain keep origins for others, so that not all have to connect to all.

use core::{cmp::Reverse, time::Duration};

use base::{Name, Software, Tick};

use crate::{Members, Peer, rendezvous::hash};

/// The largest number of origins that are remembered; the ones that expire first are forgotten first.
const MAX_ORIGINS: usize = 16_384;

/// The longest id of a stream that is remembered, in bytes.
const MAX_ID_BYTES: usize = 256;

/// The share of the origins that is forgotten at a time if there are too many.
const EVICTED_SHARE: usize = 16;

/// The longest time for which an origin is remembered.
const MAX_TTL: Duration = Duration::from_secs(600);

/// The interval at which expired origins are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The number of other instances that keep an origin.
const HOLDERS: usize = 2;

/// The number of instances of each failure domain that keep origins for others, which bounds the connections.
const KEEPERS_PER_DOMAIN: usize = 4;

/// The number of instances of each failure domain that are asked for an origin.
const SOURCES_PER_DOMAIN: usize = 2;

/// The software that sent the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The pool of the server.
    pub pool: Name,
    /// The software of the server.
    pub software: Software,
}

/// The origin of one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The stream, named by the request that brought its first event.
    pub stream: Name,
    /// The origin.
    pub origin: Origin,
    /// How long the stream may be taken up.
    pub ttl: Duration,
}

/// The origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    /// Sorted by stream.
    entries: Vec<Entry>,
    next_sweep: Tick,
}

#[derive(Clone, Debug)]
struct Entry {
    stream: Name,
    origin: Origin,
    expires_at: Tick,
}

impl Origins {
    /// Records the origin of a stream. The first record of a stream holds; later ones only prolong it. Very long ids are
    /// not remembered.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Software, Tick};
    /// use core::time::Duration;
    /// use mesh::{Origin, Origins, origins::Record};
    /// let origin = Origin { pool: "ledger".into(), software: Software::Version("v1".into()) };
    /// let ttl = Duration::from_secs(9);
    /// let mut origins = Origins::default();
    /// let now = Tick::from_millis(5);
    /// origins.record(now, Record { stream: "r-1".into(), origin: origin.clone(), ttl });
    /// assert_eq!(origins.find(now, &"r-1".into()), Some(&origin));
    /// assert_eq!(origins.find(now + ttl, &"r-1".into()), None);
    /// ```
    pub fn record(&mut self, now: Tick, record: Record) {
        if self.next_sweep <= now {
            self.entries.retain(|entry| now < entry.expires_at);
            self.next_sweep = now + SWEEP_INTERVAL;
        }
        if record.stream.as_str().len() > MAX_ID_BYTES {
            return;
        }
        let expires_at = now + record.ttl.min(MAX_TTL);
        match self.position(&record.stream) {
            Ok(at) if now < self.entries[at].expires_at => {
                let entry = &mut self.entries[at];
                if entry.origin == record.origin {
                    entry.expires_at = entry.expires_at.max(expires_at);
                }
            }
            Ok(at) => {
                self.entries[at].origin = record.origin;
                self.entries[at].expires_at = expires_at;
            }
            Err(at) => {
                let entry = Entry {
                    stream: record.stream,
                    origin: record.origin,
                    expires_at,
                };
                self.entries.insert(at, entry);
                if self.entries.len() > MAX_ORIGINS {
                    self.evict();
                }
            }
        }
    }

    /// Returns the origin of a stream.
    pub fn find(&self, now: Tick, stream: &Name) -> Option<&Origin> {
        let entry = &self.entries[self.position(stream).ok()?];
        (now < entry.expires_at).then_some(&entry.origin)
    }

    /// Returns the record of a stream, with the time that is left.
    pub fn get(&self, now: Tick, stream: Name) -> Option<Record> {
        let entry = &self.entries[self.position(&stream).ok()?];
        (now < entry.expires_at).then(|| Record {
            origin: entry.origin.clone(),
            ttl: entry.expires_at - now,
            stream,
        })
    }

    /// Returns the number of origins that are remembered, including expired ones.
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no origin is remembered.
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict(&mut self) {
        let mut ends: Vec<_> = self.entries.iter().map(|entry| entry.expires_at).collect();
        let (_, end, _) = ends.select_nth_unstable(MAX_ORIGINS / EVICTED_SHARE);
        let end = *end;
        self.entries.retain(|entry| end < entry.expires_at);
    }

    fn position(&self, stream: &Name) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.stream.cmp(stream))
    }
}

/// Returns the other instances that keep the origin of a stream which the local instance serves.
///
/// They are in different failure domains, of which one is the local one, unless there are too few instances.
pub fn holders(members: &Members, stream: &Name) -> Vec<Peer> {
    let mut domains = domains(members, stream);
    let own = &members.local().domain;
    domains.sort_by_key(|domain| (domain.name != own, Reverse(hash(stream, domain.name))));
    let nth = |at: usize| domains.iter().filter_map(move |domain| domain.live.get(at));
    let mut candidates: Vec<_> = (0..HOLDERS).flat_map(nth).collect();
    candidates.sort_by_key(|candidate| candidate.is_lost);
    let holders = candidates.into_iter().take(HOLDERS);
    holders.map(|candidate| candidate.peer.clone()).collect()
}

/// Returns the other instances that may keep the origin of a stream which any instance may have served.
///
/// Instances may disagree on which ones are lost, so the first ones are asked with and without lost ones.
pub fn sources(members: &Members, stream: &Name) -> Vec<Peer> {
    let mut sources = Vec::new();
    for domain in domains(members, stream) {
        let first = domain.all.iter().take(SOURCES_PER_DOMAIN);
        for candidate in first.chain(domain.live.iter().take(SOURCES_PER_DOMAIN)) {
            if !sources.contains(&candidate.peer) {
                sources.push(candidate.peer);
            }
        }
    }
    sources.into_iter().cloned().collect()
}

/// Another instance as a candidate to keep an origin.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    peer: &'a Peer,
    is_lost: bool,
}

/// The keepers among the other instances of one failure domain, the first candidate first.
struct Domain<'a> {
    name: &'a Name,
    /// Live and lost ones alike.
    all: Vec<Candidate<'a>>,
    /// Lost ones last.
    live: Vec<Candidate<'a>>,
}

fn domains<'a>(members: &'a Members, stream: &Name) -> Vec<Domain<'a>> {
    let mut domains: Vec<Domain<'a>> = Vec::new();
    let local = members.local();
    for (peer, is_lost) in members.others().chain([(local, false)]) {
        let candidate = Candidate { peer, is_lost };
        match domains.binary_search_by(|domain| domain.name.cmp(&peer.domain)) {
            Ok(at) => domains[at].all.push(candidate),
            Err(at) => {
                let domain = Domain {
                    name: &peer.domain,
                    all: vec![candidate],
                    live: Vec::new(),
                };
                domains.insert(at, domain);
            }
        }
    }
    let task = Name::from("origins");
    for domain in &mut domains {
        let keeper_weight = |candidate: &Candidate<'_>| Reverse(hash(&task, &candidate.peer.name));
        domain.all.sort_by_cached_key(keeper_weight);
        domain.all.truncate(KEEPERS_PER_DOMAIN);
        domain.all.retain(|keeper| keeper.peer.name != local.name);
        let weight = |candidate: &Candidate<'_>| Reverse(hash(stream, &candidate.peer.name));
        domain.all.sort_by_cached_key(weight);
        domain.live.clone_from(&domain.all);
        domain.live.sort_by_key(|candidate| candidate.is_lost);
    }
    domains
}
