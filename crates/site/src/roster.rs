//! The backend servers that are known, and which of them may get new work.

use core::{net::SocketAddr, time::Duration};
use std::rc::Rc;

use base::{Name, Tick};

/// How long a server whose entry lapsed around an outage of the platform's store is still used.
///
/// The platform states that servers that live are listed again about two seconds after its return.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1_700);

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The incarnation's id.
    pub id: Name,
    /// The pool it belongs to.
    pub pool: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Requests or calls that it works on at the same time.
    pub slots: u32,
    /// Whether it announced that it leaves.
    pub leaving: bool,
    /// When it started, in Unix milliseconds; one that starts again under its id keeps nothing. 0 if not told.
    pub started_at_ms: u64,
}

/// The servers that are listed.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    servers: Vec<Entry>,
    gone: Vec<(Name, Tick)>,
    unsure_until: Tick,
}

#[derive(Clone, Debug)]
struct Entry {
    server: Rc<Server>,
    lapsed: Option<Tick>,
}

/// How long an incarnation that said itself that it leaves is remembered.
const MEMORY: Duration = Duration::from_secs(120);

impl Roster {
    /// Takes note of a server's entry.
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
        server.leaving |= self.gone.iter().any(|(id, _)| *id == server.id);
        match self.find(&server.id) {
            Ok(at) => {
                let entry = &mut self.servers[at];
                entry.lapsed = None;
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
                        lapsed: None,
                    },
                );
            }
        }
    }

    /// Takes note that a server's entry is gone, and tells whether the server is still used.
    ///
    /// An entry that vanishes around an outage of the store may have lapsed though the server
    /// lives, so the server is used for [`LAPSE_GRACE`] longer.
    pub fn remove(&mut self, now: Tick, id: &Name) -> bool {
        let Ok(at) = self.find(id) else {
            return false;
        };
        if now < self.unsure_until && !self.servers[at].server.leaving {
            self.servers[at].lapsed.get_or_insert(now + LAPSE_GRACE);
            return true;
        }
        self.servers.remove(at);
        false
    }

    /// Takes note that the store answers again after an outage.
    pub fn record_store_recovery(&mut self, now: Tick) {
        self.unsure_until = now + LAPSE_GRACE;
    }

    /// Takes note that a server said itself that it leaves; an older entry does not undo that.
    pub fn mark_leaving(&mut self, now: Tick, id: &Name) {
        if let Ok(at) = self.find(id) {
            let entry = &mut self.servers[at];
            entry.server = Rc::new(Server {
                leaving: true,
                ..Server::clone(&entry.server)
            });
        }
        self.gone.retain(|(_, since)| now - *since < MEMORY);
        self.gone.push((id.clone(), now));
    }

    /// Removes the servers that stayed unlisted, and returns their ids.
    pub fn remove_lapsed(&mut self, now: Tick) -> Vec<Name> {
        let is_over = |entry: &Entry| entry.lapsed.is_some_and(|until| until <= now);
        let over = self.servers.iter().filter(|entry| is_over(entry));
        let ids = over.map(|entry| entry.server.id.clone()).collect();
        self.servers.retain(|entry| !is_over(entry));
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
            .filter(move |entry| entry.lapsed.is_none_or(|until| now < until))
            .map(|entry| &entry.server)
            .filter(move |server| !server.leaving && server.pool == *pool)
    }

    /// Returns every server that is listed, sorted by id.
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
