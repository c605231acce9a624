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

    /// Returns the records that an instance which has started again would be asked for.
    pub fn hand_over(&self, now: Tick, keepers: &Keepers, name: &Name) -> Vec<Record> {
        if !keepers.contains(name) {
            return Vec::new();
        }
        let live = self.entries.iter().filter(|entry| now < entry.expires_at);
        let is_asked = |entry: &&Entry| {
            let sources = keepers.sources(&entry.stream);
            sources.iter().any(|source| source.name == *name)
        };
        let records = live.filter(is_asked).map(|entry| Record {
            stream: entry.stream.clone(),
            origin: entry.origin.clone(),
            ttl: entry.expires_at - now,
        });
        records.collect()
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

/// The instances that keep origins for others: the first live ones of each failure domain by rendezvous hashing.
#[derive(Clone, Debug)]
pub struct Keepers {
    local: Name,
    /// The failure domain of the local instance.
    domain: Name,
    /// Sorted by name.
    domains: Vec<Domain>,
}

/// The keepers among the instances of one failure domain.
#[derive(Clone, Debug)]
struct Domain {
    name: Name,
    /// The first ones of all instances, as those that are taken to be lost may be live.
    all: Vec<Candidate>,
    /// The first ones of the live instances, and lost ones if there are too few.
    live: Vec<Candidate>,
}

/// An instance as a candidate to keep an origin.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    peer: Peer,
    is_lost: bool,
}

impl Keepers {
    /// Returns the keepers among the known instances.
    ///
    /// # Examples
    ///
    /// ```
    /// use mesh::{Config, Members, Peer, origins::Keepers};
    /// let peer = |name: &str, domain: &str| Peer {
    ///     name: name.into(),
    ///     address: "10.0.0.2:7740".parse().unwrap(),
    ///     domain: domain.into(),
    ///     capacity: 250,
    /// };
    /// let mut members = Members::new(Config::default(), peer("a", "d-1"));
    /// members.add(peer("b", "d-2"));
    /// let keepers = Keepers::new(&members);
    /// assert_eq!(keepers.holders(&"r-1".into()), [peer("b", "d-2")]);
    /// assert_eq!(keepers.sources(&"r-1".into()), [peer("b", "d-2")]);
    /// ```
    pub fn new(members: &Members) -> Self {
        let local = members.local();
        let task = Name::from("origins");
        let others = members.others().chain([(local, false)]);
        let mut candidates: Vec<_> = others
            .map(|(peer, is_lost)| (peer, is_lost, Reverse(hash(&task, &peer.name))))
            .collect();
        candidates.sort_unstable_by_key(|(peer, _, weight)| (&peer.domain, *weight));
        let domains = candidates.chunk_by_mut(|(a, ..), (b, ..)| a.domain == b.domain);
        let domains = domains.map(|domain| {
            let first = |domain: &[(&Peer, bool, Reverse<u64>)]| {
                let keepers = domain.iter().take(KEEPERS_PER_DOMAIN);
                let keepers = keepers.map(|(peer, is_lost, _)| Candidate {
                    peer: Peer::clone(peer),
                    is_lost: *is_lost,
                });
                keepers.collect::<Vec<_>>()
            };
            let all = first(domain);
            domain.sort_by_key(|(_, is_lost, _)| *is_lost);
            Domain {
                name: domain[0].0.domain.clone(),
                live: first(domain),
                all,
            }
        });
        let domains = domains.collect();
        Self {
            local: local.name.clone(),
            domain: local.domain.clone(),
            domains,
        }
    }

    /// Returns the other instances that keep the origin of a stream which the local instance serves.
    ///
    /// They are in different failure domains, of which one is the local one, unless there are too few instances.
    pub fn holders(&self, stream: &Name) -> Vec<Peer> {
        let mut domains: Vec<_> = self.domains.iter().collect();
        domains.sort_by_cached_key(|domain| {
            (
                domain.name != self.domain,
                Reverse(hash(stream, &domain.name)),
            )
        });
        let live: Vec<_> = domains
            .into_iter()
            .map(|domain| {
                let mut live = self.rank(stream, &domain.live);
                live.sort_by_key(|candidate| candidate.is_lost);
                live
            })
            .collect();
        let nth = |at: usize| {
            live.iter()
                .filter_map(move |domain| domain.get(at).copied())
        };
        let mut candidates: Vec<_> = (0..HOLDERS).flat_map(nth).collect();
        candidates.sort_by_key(|candidate| candidate.is_lost);
        let holders = candidates.into_iter().take(HOLDERS);
        holders.map(|candidate| candidate.peer.clone()).collect()
    }

    /// Returns the other instances that may keep the origin of a stream which any instance may have served.
    ///
    /// Instances may disagree on which ones are lost, so the first ones are asked with and without lost ones.
    pub fn sources(&self, stream: &Name) -> Vec<Peer> {
        let mut sources = Vec::new();
        for domain in &self.domains {
            let all = self.rank(stream, &domain.all);
            let mut live = self.rank(stream, &domain.live);
            live.sort_by_key(|candidate| candidate.is_lost);
            let first = all.into_iter().take(SOURCES_PER_DOMAIN);
            for candidate in first.chain(live.into_iter().take(SOURCES_PER_DOMAIN)) {
                if !sources.contains(&candidate.peer) {
                    sources.push(candidate.peer.clone());
                }
            }
        }
        sources
    }

    /// Returns whether an instance keeps origins for others.
    pub fn contains(&self, name: &Name) -> bool {
        let mut keepers = self
            .domains
            .iter()
            .flat_map(|domain| domain.all.iter().chain(&domain.live));
        keepers.any(|candidate| candidate.peer.name == *name)
    }

    /// Returns keepers in the order for a stream, without the local instance.
    fn rank<'a>(&self, stream: &Name, keepers: &'a [Candidate]) -> Vec<&'a Candidate> {
        let others = keepers
            .iter()
            .filter(|candidate| candidate.peer.name != self.local);
        let mut others: Vec<_> = others.collect();
        others.sort_by_cached_key(|candidate| Reverse(hash(stream, &candidate.peer.name)));
        others
    }
}

/// Returns the other instances that keep the origin of a stream which the local instance serves.
pub fn holders(members: &Members, stream: &Name) -> Vec<Peer> {
    Keepers::new(members).holders(stream)
}

/// Returns the other instances that may keep the origin of a stream which any instance may have served.
pub fn sources(members: &Members, stream: &Name) -> Vec<Peer> {
    Keepers::new(members).sources(stream)
}
