//! Tracks the registered backend servers and which of them may get new work.

use core::{net::SocketAddr, time::Duration};
use std::rc::Rc;

use base::{Incarnation, Name, Software, Stamp, Tick};

use crate::Evacuations;

/// How long after an outage of the platform's store a server is still used whose entry lapsed.
///
/// The platform states that live servers register again about two seconds after the store's recovery.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1_700);

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The id of the incarnation.
    pub id: Name,
    /// The pool it belongs to.
    pub pool: Name,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// The number of requests or calls that it runs concurrently.
    pub slots: u32,
    /// Whether it announced its departure.
    pub leaving: bool,
    /// The start time in Unix milliseconds, or 0 if unknown. A server that restarts under the same id has lost its
    /// cache and its results.
    pub started_at_ms: u64,
    /// The version of its software, if it states one.
    pub version: Option<Name>,
}

impl Server {
    /// Returns the software that the server runs.
    pub fn software(&self) -> Software {
        match &self.version {
            Some(version) => Software::Version(version.clone()),
            None => Software::Run(self.incarnation()),
        }
    }

    /// Returns whether the server is certain to run a given software.
    ///
    /// # Examples
    ///
    /// ```
    /// use site::roster::Server;
    /// let server = |id: &str, version: Option<&str>| Server {
    ///     id: id.into(),
    ///     pool: "ledger".into(),
    ///     address: "10.0.0.1:80".parse().unwrap(),
    ///     domain: "a".into(),
    ///     slots: 6,
    ///     leaving: false,
    ///     started_at_ms: 7,
    ///     version: version.map(Into::into),
    /// };
    /// let first = server("i-1", Some("v1"));
    /// assert!(server("i-2", Some("v1")).runs(&first.software()));
    /// assert!(!server("i-2", Some("v2")).runs(&first.software()));
    /// let unknown = server("i-1", None);
    /// assert!(unknown.runs(&unknown.software()));
    /// assert!(!server("i-2", None).runs(&unknown.software()));
    /// ```
    pub fn runs(&self, software: &Software) -> bool {
        match software {
            Software::Version(version) => self.version.as_ref() == Some(version),
            Software::Run(run) => self.started_at_ms != 0 && *run == self.incarnation(),
        }
    }

    /// Returns the run of the server.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Stamp;
    /// use site::roster::Server;
    /// let server = Server {
    ///     id: "i-1".into(),
    ///     pool: "ledger".into(),
    ///     address: "10.0.0.1:80".parse().unwrap(),
    ///     domain: "a".into(),
    ///     slots: 6,
    ///     leaving: false,
    ///     started_at_ms: 7,
    ///     version: None,
    /// };
    /// assert_eq!(server.incarnation().start, Stamp::from_millis(7));
    /// ```
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.id.clone(), Stamp::from_millis(self.started_at_ms))
    }
}

/// The registered servers.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// The failure domains whose servers get no work.
    pub evacuations: Evacuations,
    servers: Vec<Entry>,
    /// The runs that left, sorted by the server's id.
    departures: Vec<Departure>,
    /// The number of departures so far, which orders them by age.
    departure_count: u64,
    /// The time until which a missing entry may have lapsed although its server is live, and the server is used.
    lapse_grace_until: Tick,
    /// The time as of which the entries are known, or none before they were read.
    read_at: Option<Tick>,
}

#[derive(Clone, Debug)]
struct Entry {
    server: Rc<Server>,
    /// When the server is no longer used, if its entry lapsed.
    expires_at: Option<Tick>,
}

/// The departure of one run of a server.
#[derive(Clone, Debug)]
struct Departure {
    id: Name,
    started_at_ms: u64,
    number: u64,
    evidence: Evidence,
}

/// What shows that a run of a server left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// The server announced it, which is final for the run.
    Announced,
    /// The entry was removed; the next entry of the same run shows that the server is live.
    Unlisted,
    /// The entry was removed before the store was restored from an older copy. An entry from that copy shows nothing:
    /// the server is live once its entry has a higher sequence, or is still listed when the store would have removed
    /// the entry of a silent server.
    Restored {
        /// The sequence of the first entry that was read from the restored store.
        sequence: Option<u64>,
        /// The time from which a listed server is live.
        trusted_from: Tick,
    },
}

/// The shortest time for which a server is listed: it drains for as long before its entry is removed, and the entry of a
/// silent server is kept longer.
const MIN_LISTED_TIME: Duration = Duration::from_secs(2);

/// The number of departures that are remembered; the oldest are forgotten first.
const MAX_DEPARTURES: usize = 4_096;

impl Roster {
    /// Adds or updates a server's entry. `sequence` counts what the server wrote during its run.
    ///
    /// A run that left stays so, whatever an older entry says.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use site::{Roster, roster::Server};
    /// let server = Server {
    ///     id: "i-1".into(),
    ///     pool: "ledger".into(),
    ///     address: "10.0.0.1:80".parse().unwrap(),
    ///     domain: "a".into(),
    ///     slots: 6,
    ///     leaving: false,
    ///     started_at_ms: 0,
    ///     version: Some("v1".into()),
    /// };
    /// let mut roster = Roster::default();
    /// roster.insert(server, 1);
    /// assert_eq!(roster.usable(Tick::default(), &"ledger".into()).count(), 1);
    /// ```
    pub fn insert(&mut self, mut server: Server, sequence: u64) {
        if server.leaving {
            self.record_departure(&server.id, server.started_at_ms, Evidence::Announced);
        } else {
            server.leaving = self.has_left(&server, sequence);
        }
        match self.find(&server.id) {
            Ok(at) => {
                let entry = &mut self.servers[at];
                entry.expires_at = None;
                if *entry.server != server {
                    entry.server = Rc::new(server);
                }
            }
            Err(at) => {
                let server = Rc::new(server);
                self.servers.insert(
                    at,
                    Entry {
                        server,
                        expires_at: None,
                    },
                );
            }
        }
    }

    /// Returns whether an entry that says otherwise belongs to a run that left.
    fn has_left(&mut self, server: &Server, sequence: u64) -> bool {
        let Ok(at) = self.find_departure(&server.id) else {
            return false;
        };
        let departure = &mut self.departures[at];
        let is_newer_run = departure.started_at_ms < server.started_at_ms;
        let is_live = match departure.evidence {
            _ if is_newer_run => true,
            Evidence::Announced => false,
            Evidence::Unlisted => true,
            Evidence::Restored {
                sequence: Some(restored),
                ..
            } => restored < sequence,
            Evidence::Restored {
                sequence: None,
                trusted_from,
            } => {
                departure.evidence = Evidence::Restored {
                    sequence: Some(sequence),
                    trusted_from,
                };
                false
            }
        };
        if is_live {
            self.departures.remove(at);
        }
        !is_live
    }

    /// Records that a server's entry is gone, and returns whether the server is still used.
    ///
    /// An entry that disappears around an outage of the store, or is missing from a restored store, may have lapsed
    /// although the server is live, so the server is used until the end of the grace period after the outage.
    pub fn remove(&mut self, now: Tick, id: &Name) -> bool {
        let Ok(at) = self.find(id) else {
            return false;
        };
        if now < self.lapse_grace_until && !self.servers[at].server.leaving {
            let end = self.lapse_grace_until;
            self.servers[at].expires_at.get_or_insert(end);
            return true;
        }
        let entry = self.servers.remove(at);
        self.record_unlisted(&entry.server);
        false
    }

    /// Records the time as of which the entries are known.
    pub fn record_read(&mut self, read_at: Tick) {
        self.read_at = self.read_at.max(Some(read_at));
    }

    /// Returns whether servers may have been listed and unlisted again since the last read without a trace in a list that is
    /// read now.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use site::Roster;
    /// let mut roster = Roster::default();
    /// roster.record_read(Tick::from_millis(1_000));
    /// assert!(!roster.may_lack_servers(Tick::from_millis(2_999)));
    /// assert!(roster.may_lack_servers(Tick::from_millis(3_000)));
    /// ```
    pub fn may_lack_servers(&self, now: Tick) -> bool {
        self.read_at
            .is_some_and(|read_at| now - read_at >= MIN_LISTED_TIME)
    }

    /// Records that the store answers again after an outage.
    pub fn record_store_recovery(&mut self, now: Tick) {
        self.set_grace(now, LAPSE_GRACE);
    }

    /// Records that the store was restored from an older copy. Servers that the copy lacks have `grace` to write their
    /// entry again, and the copy's entries don't bring back servers that left. The store removes the entries of silent
    /// servers within `grace`.
    pub fn record_store_restored(&mut self, now: Tick, grace: Duration) {
        self.set_grace(now, grace);
        for departure in &mut self.departures {
            departure.evidence = match departure.evidence {
                Evidence::Announced => Evidence::Announced,
                Evidence::Unlisted | Evidence::Restored { .. } => Evidence::Restored {
                    sequence: None,
                    trusted_from: now + grace * 2,
                },
            };
        }
    }

    fn set_grace(&mut self, now: Tick, grace: Duration) {
        self.lapse_grace_until = self.lapse_grace_until.max(now + grace);
    }

    /// Records that a run of a server announced its departure, and returns whether that is new. An older entry doesn't
    /// undo it; an entry with a later start time does.
    pub fn mark_leaving(&mut self, id: &Name, started_at_ms: u64) -> bool {
        if let Ok(at) = self.find(id) {
            let entry = &mut self.servers[at];
            if entry.server.started_at_ms > started_at_ms {
                // The announcement is from an earlier run.
                return false;
            }
            entry.server = Rc::new(Server {
                leaving: true,
                ..Server::clone(&entry.server)
            });
        }
        self.record_departure(id, started_at_ms, Evidence::Announced)
    }

    /// Removes the servers that didn't register again within the grace period, and returns their ids.
    pub fn remove_lapsed(&mut self, now: Tick) -> Vec<Name> {
        self.trust_restored(now);
        let is_expired = |entry: &Entry| entry.expires_at.is_some_and(|until| until <= now);
        let (expired, kept) = core::mem::take(&mut self.servers)
            .into_iter()
            .partition::<Vec<_>, _>(is_expired);
        self.servers = kept;
        for entry in &expired {
            self.record_unlisted(&entry.server);
        }
        let ids = expired.iter().map(|entry| entry.server.id.clone());
        ids.collect()
    }

    /// Uses the servers again that left before the store was restored and are still listed long after.
    fn trust_restored(&mut self, now: Tick) {
        let is_trusted = |departure: &Departure| matches!(departure.evidence, Evidence::Restored { trusted_from, .. } if trusted_from <= now);
        if !self.departures.iter().any(is_trusted) {
            return;
        }
        let (trusted, kept) = core::mem::take(&mut self.departures)
            .into_iter()
            .partition::<Vec<_>, _>(is_trusted);
        self.departures = kept;
        for departure in trusted {
            if let Ok(at) = self.find(&departure.id) {
                let entry = &mut self.servers[at];
                entry.server = Rc::new(Server {
                    leaving: false,
                    ..Server::clone(&entry.server)
                });
            }
        }
    }

    fn record_unlisted(&mut self, server: &Server) {
        let evidence = if server.leaving {
            Evidence::Announced
        } else {
            Evidence::Unlisted
        };
        self.record_departure(&server.id, server.started_at_ms, evidence);
    }

    /// Records a departure, and returns whether it was unknown. An announcement replaces weaker evidence.
    fn record_departure(&mut self, id: &Name, started_at_ms: u64, evidence: Evidence) -> bool {
        let departure = Departure {
            id: id.clone(),
            started_at_ms,
            number: self.departure_count,
            evidence,
        };
        match self.find_departure(id) {
            Ok(at) => {
                let known = &self.departures[at];
                let is_announced = known.evidence == Evidence::Announced;
                if known.started_at_ms > started_at_ms
                    || (known.started_at_ms == started_at_ms && is_announced)
                {
                    return false;
                }
                self.departures[at] = departure;
            }
            Err(at) => self.departures.insert(at, departure),
        }
        self.departure_count += 1;
        if self.departures.len() > MAX_DEPARTURES {
            let oldest = self.departure_count - MAX_DEPARTURES as u64;
            self.departures
                .retain(|departure| departure.number >= oldest);
        }
        true
    }

    fn find_departure(&self, id: &Name) -> Result<usize, usize> {
        self.departures
            .binary_search_by(|departure| departure.id.cmp(id))
    }

    /// Returns the servers of a pool that may get new work: those that are not leaving and not in an evacuated domain.
    pub fn usable<'a>(
        &'a self,
        now: Tick,
        pool: &'a Name,
    ) -> impl Iterator<Item = &'a Rc<Server>> + 'a {
        let servers = self.servers.iter();
        servers
            .filter(move |entry| entry.expires_at.is_none_or(|until| now < until))
            .map(|entry| &entry.server)
            .filter(move |server| !server.leaving && server.pool == *pool)
            .filter(move |server| !self.evacuations.contains(now, &server.domain))
    }

    /// Returns whether servers of a pool are listed, but all that could get work are in evacuated domains.
    pub fn is_evacuated(&self, now: Tick, pool: &Name) -> bool {
        let mut servers = self.all().filter(|server| server.pool == *pool);
        servers.any(|server| self.evacuations.contains(now, &server.domain))
            && self.usable(now, pool).next().is_none()
    }

    /// Returns whether only servers in evacuated domains are listed at an address.
    pub fn is_evacuated_address(&self, now: Tick, address: SocketAddr) -> bool {
        if self.evacuations.in_force(now).next().is_none() {
            return false;
        }
        let mut servers = self.all().filter(|server| server.address == address);
        let is_evacuated = |server: &Rc<Server>| self.evacuations.contains(now, &server.domain);
        servers.next().is_some_and(is_evacuated) && servers.all(is_evacuated)
    }

    /// Returns the software of a pool's registered servers, leaving ones included, if all are known to run the same.
    pub fn sole_software(&self, pool: &Name) -> Option<Software> {
        let mut servers = self.all().filter(|server| server.pool == *pool);
        let version = servers.next()?.version.as_ref()?;
        servers
            .all(|server| server.version.as_ref() == Some(version))
            .then(|| Software::Version(version.clone()))
    }

    /// Returns every registered server, sorted by id.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.servers.iter().map(|entry| &entry.server)
    }

    /// Returns a server by its id.
    pub fn get(&self, id: &Name) -> Option<&Rc<Server>> {
        self.find(id).ok().map(|at| &self.servers[at].server)
    }

    fn find(&self, id: &Name) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|entry| entry.server.id.cmp(id))
    }
}
