//! State that the control side publishes to the serving side.

use core::net::SocketAddr;
use std::sync::Arc;

use base::{Incarnation, Name, Tick};
use bundle::Bundle;

/// The configuration in force, or `None` before the first one.
pub type InForce = Option<Arc<Bundle>>;

/// The known backend servers, sorted by pool and incarnation.
pub type Servers = Arc<Vec<Server>>;

/// The live entry instances of this instance's failure domain, including this one.
pub type Members = Arc<Group>;

/// The other entry instances, with the demand of client accounts at each.
pub type Peers = Arc<Vec<admit::limit::Peer>>;

/// Entry instances between which ownership is divided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// The instances, sorted.
    pub names: Vec<Incarnation>,
    /// The address at which each accepts messages from peers, in the same order.
    pub addresses: Vec<Name>,
    /// Entry instances of every failure domain, including this one, sorted by name.
    pub instances: Vec<Instance>,
}

/// The latest known incarnation of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name and start time.
    pub incarnation: Incarnation,
    /// Whether no instance of its failure domain has heard from it within the timeout; `false` in other
    /// failure domains than this one.
    pub lost: bool,
}

impl Group {
    /// Returns the address at which an instance accepts messages from peers.
    pub fn address(&self, instance: &Incarnation) -> Option<&Name> {
        let at = self.names.binary_search(instance).ok()?;
        self.addresses.get(at)
    }

    /// Returns whether an instance has a later incarnation, or has not been heard from for too long.
    ///
    /// It may be paused or partitioned, so nothing that it holds may be reassigned.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Incarnation, Stamp};
    /// use entry::view::{Group, Instance};
    /// let incarnation = |start| Incarnation::new("entry-1", Stamp::from_millis(start));
    /// let instances = vec![Instance { incarnation: incarnation(2), lost: false }];
    /// let group = Group { instances, ..Group::default() };
    /// assert!(group.is_gone(&incarnation(1)) && !group.is_gone(&incarnation(2)));
    /// ```
    pub fn is_gone(&self, instance: &Incarnation) -> bool {
        let compare = |known: &Instance| known.incarnation.name.cmp(&instance.name);
        let found = self.instances.binary_search_by(compare);
        found.is_ok_and(|at| {
            let known = &self.instances[at];
            known.incarnation > *instance || known.incarnation == *instance && known.lost
        })
    }
}

/// The load that a backend server reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// Calls that it is running.
    pub running: u32,
    /// Calls that are queued in it.
    pub waiting: u32,
    /// The time of the measurement.
    pub at: Tick,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Server {
    /// The pool.
    pub pool: Name,
    /// Its name and start time.
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: Name,
    /// The address of its HTTP endpoint.
    pub address: SocketAddr,
    /// Whether it accepts no new calls.
    pub leaving: bool,
    /// Its load, if it reports one.
    pub load: Option<Load>,
}
