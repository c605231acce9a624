//! Which instance grants turns at a server that limits its request rate, and which ones would in its place.

use core::cmp::Reverse;

use base::{Name, Tick};

use super::{Members, Owner, Peer, PeerState, rank};

/// The part of a server's limit that an instance grants in a deployment of cells if it isn't the first choice, which may
/// be lost or only be unreachable from here.
const SECOND_SHARE: f64 = 0.4;

/// The instances that are told of the turns which the first choice grants, as several may be lost in a row.
const SUCCESSORS: usize = 3;

impl Members {
    /// Returns the instance that grants turns at a server of a failure domain: the live one that rendezvous hashing
    /// selects, whatever its capacity.
    ///
    /// In a deployment of cells, instances of the server's domain come first, and those of other domains follow.
    pub fn holder(&mut self, now: Tick, server: &Name, domain: &Name) -> Owner {
        for at in self.ranked_above(server, domain) {
            self.record_use(now, at);
            if self.is_peer_live(now, &self.peers[at]) {
                return Owner::Peer(self.peers[at].peer.clone());
            }
        }
        Owner::Local
    }

    /// Returns the part of a server's limit that this instance may grant, as others may grant turns there, too, while
    /// instances don't reach each other. The sides of a cut in two grant less than one and a half times the limit.
    ///
    /// An instance that reaches more than half of the others grants the whole limit, and otherwise the share of those that it
    /// reaches. In a deployment of cells, where it doesn't know that, the first choice of rendezvous hashing grants the
    /// whole limit, and any other instance [`SECOND_SHARE`] of it.
    pub fn granted_share(&self, now: Tick, server: &Name, domain: &Name) -> f64 {
        if self.has_cells() {
            let is_first = self.ranked_above(server, domain).is_empty();
            return if is_first { 1.0 } else { SECOND_SHARE };
        }
        let is_present = |state: &&PeerState| self.is_peer_live(now, state) || state.is_leaving;
        let present = 1 + self.peers.iter().filter(is_present).count();
        if 2 * present > self.count() {
            1.0
        } else {
            present as f64 / self.count() as f64
        }
    }

    /// Exchanges heartbeats with the instances that would grant turns at a server in place of the local one, so that they
    /// know which turns it has granted. Without cells, all instances exchange heartbeats anyway.
    pub fn monitor_successors(&mut self, now: Tick, server: &Name, domain: &Name) {
        if !self.has_cells() {
            return;
        }
        let own = self.granter_key(server, domain, &self.local);
        let peers = self.peers.iter().map(|state| &state.peer);
        let below = peers.map(|peer| (self.granter_key(server, domain, peer), &peer.name));
        let mut below: Vec<_> = below.filter(|(key, _)| *key < own).collect();
        below.sort_unstable_by_key(|(key, _)| Reverse(*key));
        below.truncate(SUCCESSORS);
        let names: Vec<_> = below.into_iter().map(|(_, name)| name.clone()).collect();
        for name in &names {
            self.monitor(now, name);
        }
    }

    /// Returns the indices of the instances that grant turns at a server if they are live, before the local one does. An
    /// instance that is stopping comes last.
    fn ranked_above(&self, server: &Name, domain: &Name) -> Vec<usize> {
        let own = self.granter_key(server, domain, &self.local);
        let peers = self.peers.iter().enumerate();
        let above = peers.map(|(at, state)| (self.granter_key(server, domain, &state.peer), at));
        let mut above: Vec<_> = above
            .filter(|(key, _)| self.is_leaving || *key > own)
            .collect();
        above.sort_unstable_by_key(|(key, _)| Reverse(*key));
        above.into_iter().map(|(_, at)| at).collect()
    }

    /// Returns the rank of an instance among those that grant turns at a server; the highest comes first.
    fn granter_key(&self, server: &Name, domain: &Name, peer: &Peer) -> (bool, u64) {
        let is_near = !self.has_cells() || peer.domain == *domain;
        let (_, hash) = rank(server, peer);
        (is_near, hash)
    }
}
