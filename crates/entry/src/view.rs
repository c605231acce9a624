//! What the control side publishes for the serving side.

use core::net::SocketAddr;
use std::sync::Arc;

use base::{Incarnation, Name, Tick};
use bundle::Bundle;

/// The configuration in force, if there is one yet.
pub type Force = Option<Arc<Bundle>>;

/// The backend servers known, sorted by pool and incarnation.
pub type Servers = Arc<Vec<Server>>;

/// The live entry instances of the own failure domain, this one among them.
pub type Members = Arc<Group>;

/// The other entry instances, with what client accounts asked of them.
pub type Rivals = Arc<Vec<admit::limit::Peer>>;

/// Entry instances among which roles are assigned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// The instances, sorted.
    pub names: Vec<Incarnation>,
    /// Where each takes messages of its peers, in the same order.
    pub addresses: Vec<Name>,
    /// Entry instances of every failure domain, this one among them, sorted by name.
    pub instances: Vec<Instance>,
}

/// The latest life known of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The name and the start of that life.
    pub incarnation: Incarnation,
    /// Whether nobody of its failure domain, which is this one's, has heard it for too long.
    pub lost: bool,
}

impl Group {
    /// Returns where an instance takes messages of its peers.
    pub fn address(&self, instance: &Incarnation) -> Option<&Name> {
        let at = self.names.binary_search(instance).ok()?;
        self.addresses.get(at)
    }

    /// Tells whether an instance has a later life, or has not been heard for too long.
    ///
    /// It may be paused or cut off, so nothing that it holds may pass to another one.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Incarnation, Stamp};
    /// use entry::view::{Group, Instance};
    /// let life = |start| Incarnation::new("entry-1", Stamp::from_millis(start));
    /// let instances = vec![Instance { incarnation: life(2), lost: false }];
    /// let group = Group { instances, ..Group::default() };
    /// assert!(group.is_gone(&life(1)) && !group.is_gone(&life(2)));
    /// ```
    pub fn is_gone(&self, instance: &Incarnation) -> bool {
        let named = |known: &Instance| known.incarnation.name.cmp(&instance.name);
        let found = self.instances.binary_search_by(named);
        found.is_ok_and(|at| {
            let known = &self.instances[at];
            known.incarnation > *instance || known.incarnation == *instance && known.lost
        })
    }
}

/// The load that a backend server reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// Calls that it works on.
    pub running: u32,
    /// Calls that wait in it.
    pub waiting: u32,
    /// When it was measured.
    pub at: Tick,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Server {
    /// The pool.
    pub pool: Name,
    /// The name and the start of this life.
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: Name,
    /// Where it takes HTTP.
    pub address: SocketAddr,
    /// Whether it takes nothing new.
    pub leaving: bool,
    /// Its load, where it reports one.
    pub load: Option<Load>,
}
