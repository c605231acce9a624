//! Entry instances of every failure domain, from every source.

use base::{Incarnation, Name, Tick};

use crate::fact::{Id, Instance, State};

/// Entry instances by name, the latest incarnation of each.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers(Vec<Peer>);

/// What is known of an entry instance.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Its id.
    pub(crate) id: Id,
    /// What it or the list says of it.
    pub(crate) instance: Instance,
    /// When a source first named it.
    pub(crate) since: Tick,
    /// When any source last named it.
    pub(crate) named: Tick,
}

impl Peers {
    /// Takes in what a source says of an instance; a later start supersedes an earlier one.
    ///
    /// An incarnation once seen leaving stays so.
    pub(crate) fn place(&mut self, now: Tick, instance: &Instance) {
        let at = match self.find(&instance.incarnation.name) {
            Ok(at) => at,
            Err(at) => {
                self.0.insert(at, Peer::new(now, instance));
                return;
            }
        };
        let peer = &mut self.0[at];
        let left = peer.instance.state;
        match instance.incarnation.cmp(&peer.instance.incarnation) {
            core::cmp::Ordering::Less => {}
            core::cmp::Ordering::Equal => {
                peer.instance = instance.clone();
                peer.instance.state = left.max(instance.state);
                peer.named = now;
            }
            core::cmp::Ordering::Greater => *peer = Peer::new(now, instance),
        }
    }

    /// Marks an incarnation as leaving, and tells whether it is known as an entry instance.
    pub(crate) fn leave(&mut self, incarnation: &Incarnation) -> bool {
        let Ok(at) = self.find(&incarnation.name) else {
            return false;
        };
        let instance = &mut self.0[at].instance;
        if instance.incarnation <= *incarnation {
            instance.state = State::Leaving;
        }
        true
    }

    /// Forgets those that no source has named since an instant.
    pub(crate) fn forget(&mut self, since: Tick) {
        self.0.retain(|peer| peer.named >= since);
    }

    /// Returns the instances, by name.
    pub(crate) fn iter(&self) -> core::slice::Iter<'_, Peer> {
        self.0.iter()
    }

    fn find(&self, name: &Name) -> Result<usize, usize> {
        self.0
            .binary_search_by(|peer| peer.instance.incarnation.name.cmp(name))
    }
}

impl Peer {
    fn new(now: Tick, instance: &Instance) -> Self {
        Self {
            id: Id::from_incarnation(&instance.incarnation),
            instance: instance.clone(),
            since: now,
            named: now,
        }
    }
}
