//! The roster's view of the known processes, and how old that knowledge is.

use core::time::Duration;

use base::{Incarnation, Name};

use crate::fact::{self, Instance, Load, State, Tally};

/// Backend servers by pool, entry instances and other failure domains, each list sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Pools of the own failure domain.
    pub pools: Vec<Pool>,
    /// Entry instances, the own one excluded.
    pub peers: Vec<Peer>,
    /// The other failure domains.
    pub domains: Vec<Domain>,
    /// The own failure domain, as summarized for the others.
    pub own: Option<Domain>,
    /// The sums over pipelines and stages of each failure domain, by its name.
    pub tallies: Vec<Tally>,
}

/// A pool and its backend servers, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// The name of the pool.
    pub name: Name,
    /// Its backend servers.
    pub servers: Vec<Server>,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its name and start time.
    pub incarnation: Incarnation,
    /// Its address.
    pub address: Name,
    /// Whether it may be given new work.
    pub state: State,
    /// Its load, with the current age of the figures.
    pub load: Option<Load>,
    /// Time since any instance last heard from it.
    pub age: Duration,
}

/// An entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name, failure domain, address and state.
    pub instance: Instance,
    /// Time since its version last grew; `None` if it was never heard from.
    pub age: Option<Duration>,
    /// Whether it was heard from recently enough to hold roles.
    pub is_heard: bool,
}

/// The summary of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// Its last known summary.
    pub summary: fact::Domain,
    /// Time since the summary arrived in the own failure domain.
    pub age: Duration,
}

impl View {
    /// Returns a pool by its name.
    ///
    /// # Examples
    ///
    /// ```
    /// let view = member::View::default();
    /// assert!(view.pool("limpet-pool").is_none());
    /// ```
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let at = self
            .pools
            .binary_search_by(|pool| pool.name.as_str().cmp(name));
        at.ok().map(|at| &self.pools[at])
    }

    /// Returns a backend server by pool and name.
    pub fn server(&self, pool: &str, name: &str) -> Option<&Server> {
        let servers = &self.pool(pool)?.servers;
        let at = servers.binary_search_by(|one| one.incarnation.name.as_str().cmp(name));
        at.ok().map(|at| &servers[at])
    }
}
