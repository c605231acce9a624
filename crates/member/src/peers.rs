//! Entry instances of every failure domain, from every source.

use base::{Incarnation, Name, Tick};

use crate::fact::{Id, Instance, State};

/// Entry instances by name, the latest incarnation of each.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers(Vec<Peer>);

/// A known entry instance.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Its id.
    pub(crate) id: Id,
    /// Its data according to itself or the platform's list.
    pub(crate) instance: Instance,
    /// When a source first mentioned it.
    pub(crate) first_named: Tick,
    /// When any source last mentioned it.
    pub(crate) last_named: Tick,
}

impl Peers {
    /// Inserts or updates an instance; a later start supersedes an earlier one.
    ///
    /// An incarnation once seen leaving stays leaving.
    pub(crate) fn insert(&mut self, now: Tick, instance: &Instance) {
        let at = match self.find(&instance.incarnation.name) {
            Ok(at) => at,
            Err(at) => {
                self.0.insert(at, Peer::new(now, instance));
                return;
            }
        };
        let peer = &mut self.0[at];
        let state = peer.instance.state;
        match instance.incarnation.cmp(&peer.instance.incarnation) {
            core::cmp::Ordering::Less => {}
            core::cmp::Ordering::Equal => {
                peer.instance = instance.clone();
                peer.instance.state = state.max(instance.state);
                peer.last_named = now;
            }
            core::cmp::Ordering::Greater => *peer = Peer::new(now, instance),
        }
    }

    /// Marks an incarnation as leaving, and returns whether an entry instance has its name.
    pub(crate) fn mark_leaving(&mut self, incarnation: &Incarnation) -> bool {
        let Ok(at) = self.find(&incarnation.name) else {
            return false;
        };
        let instance = &mut self.0[at].instance;
        if instance.incarnation <= *incarnation {
            instance.state = State::Leaving;
        }
        true
    }

    /// Removes the instances that no source has mentioned since an instant.
    pub(crate) fn remove_unnamed(&mut self, since: Tick) {
        self.0.retain(|peer| peer.last_named >= since);
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
            first_named: now,
            last_named: now,
        }
    }
}
