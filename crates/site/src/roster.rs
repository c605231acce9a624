//! Tracks the registered backend servers and which of them may get new work.

use core::{net::SocketAddr, time::Duration};
use std::rc::Rc;

use base::{Name, Tick};

/// How long a server is still used after its entry lapsed around an outage of the platform's store.
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
}

/// The registered servers.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    servers: Vec<Entry>,
    /// The incarnations that announced their departure, and when they did.
    departed: Vec<(Name, Tick)>,
    /// The time until which a missing entry counts as lapsed because of an outage of the store.
    lapse_grace_until: Tick,
}

#[derive(Clone, Debug)]
struct Entry {
    server: Rc<Server>,
    /// When the server is no longer used, if its entry lapsed.
    expires_at: Option<Tick>,
}

/// How long the announced departure of an incarnation is remembered.
const DEPARTURE_TTL: Duration = Duration::from_secs(120);

impl Roster {
    /// Adds or updates a server's entry.
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
    /// };
    /// let mut roster = Roster::default();
    /// roster.insert(server);
    /// assert_eq!(roster.usable(Tick::default(), &"ledger".into()).count(), 1);
    /// ```
    pub fn insert(&mut self, mut server: Server) {
        server.leaving |= self.departed.iter().any(|(id, _)| *id == server.id);
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

    /// Records that a server's entry is gone, and returns whether the server is still used.
    ///
    /// An entry that disappears around an outage of the store may have lapsed although the server
    /// is live, so the server is used for another [`LAPSE_GRACE`].
    pub fn remove(&mut self, now: Tick, id: &Name) -> bool {
        let Ok(at) = self.find(id) else {
            return false;
        };
        if now < self.lapse_grace_until && !self.servers[at].server.leaving {
            self.servers[at].expires_at.get_or_insert(now + LAPSE_GRACE);
            return true;
        }
        self.servers.remove(at);
        false
    }

    /// Records that the store answers again after an outage.
    pub fn record_store_recovery(&mut self, now: Tick) {
        self.lapse_grace_until = now + LAPSE_GRACE;
    }

    /// Records that a server announced its departure, which an older entry doesn't undo.
    pub fn mark_leaving(&mut self, now: Tick, id: &Name) {
        if let Ok(at) = self.find(id) {
            let entry = &mut self.servers[at];
            entry.server = Rc::new(Server {
                leaving: true,
                ..Server::clone(&entry.server)
            });
        }
        self.departed
            .retain(|(_, since)| now - *since < DEPARTURE_TTL);
        self.departed.push((id.clone(), now));
    }

    /// Removes the servers that didn't register again within [`LAPSE_GRACE`], and returns their ids.
    pub fn remove_lapsed(&mut self, now: Tick) -> Vec<Name> {
        let is_expired = |entry: &Entry| entry.expires_at.is_some_and(|until| until <= now);
        let expired = self.servers.iter().filter(|entry| is_expired(entry));
        let ids = expired.map(|entry| entry.server.id.clone()).collect();
        self.servers.retain(|entry| !is_expired(entry));
        ids
    }

    /// Returns the servers of a pool that may get new work.
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
