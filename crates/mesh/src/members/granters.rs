//! Which instances may grant turns at a cold server, in the order of their rank.

use core::cmp::Reverse;

use base::{Name, Tick};

use super::{Members, Owner, Peer};
use crate::rendezvous::hash;

impl Members {
    /// Removes an instance as [`Members::remove`] does, and lets it keep its rank in [`Members::standing`] for a time, as
    /// others may still list it.
    pub fn remove_at(&mut self, now: Tick, name: &Name) {
        let memory = self.config.rank_memory;
        self.removed.retain(|(at, _)| now - *at < memory);
        if let Ok(at) = self.find(name) {
            let state = self.peers.remove(at);
            self.removed.push((now, state.peer));
        }
    }

    /// Returns the number of instances that come before the local one among those that may grant turns at a cold server of a
    /// failure domain: those of its domain first, then by rendezvous hashing, live or not.
    ///
    /// An instance that was removed a short time ago counts, as others may still take it for the first one.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use mesh::{Config, Members, Peer};
    /// let peer = |name: &str, domain: &str| Peer {
    ///     name: name.into(),
    ///     address: "10.0.0.2:7740".parse().unwrap(),
    ///     domain: domain.into(),
    ///     capacity: 250,
    /// };
    /// let mut members = Members::new(Config::default(), peer("a", "d1"));
    /// members.add(peer("b", "d2"));
    /// let now = Tick::from_millis(5);
    /// assert_eq!(members.standing(now, &"i-1".into(), &"d1".into()), 0);
    /// assert_eq!(members.standing(now, &"i-1".into(), &"d2".into()), 1);
    /// members.remove_at(now, &"b".into());
    /// assert_eq!(members.standing(now, &"i-1".into(), &"d2".into()), 1);
    /// assert_eq!(members.standing(Tick::from_millis(5_000), &"i-1".into(), &"d2".into()), 0);
    /// ```
    pub fn standing(&self, now: Tick, server: &Name, domain: &Name) -> usize {
        let own = key(server, domain, self.local());
        let removed = self.recently_removed(now);
        let removed = removed.filter(|removed| {
            removed.name != self.local().name
                && self.others().all(|(peer, _)| peer.name != removed.name)
        });
        let others = self.others().map(|(peer, _)| peer).chain(removed);
        others
            .filter(|peer| key(server, domain, peer) > own)
            .count()
    }

    /// Returns the first live one of the `count` instances that may grant turns at a cold server, or
    /// [`Owner::Unavailable`] if none of them is.
    pub fn granter(&mut self, now: Tick, server: &Name, domain: &Name, count: usize) -> Owner {
        let own = key(server, domain, self.local());
        let mut above: Vec<_> = self
            .others()
            .map(|(peer, _)| (key(server, domain, peer), peer))
            .filter(|(key, _)| *key > own)
            .collect();
        let position = above.len();
        if count < position {
            above.select_nth_unstable_by_key(count, |(key, _)| Reverse(*key));
            above.truncate(count);
        }
        above.sort_unstable_by_key(|(key, _)| Reverse(*key));
        let names: Vec<_> = above.iter().map(|(_, peer)| peer.name.clone()).collect();
        for name in &names {
            self.monitor(now, name);
            if let Some(peer) = self.live_peer(now, name) {
                return Owner::Peer(peer);
            }
        }
        match position < count {
            true => Owner::Local,
            false => Owner::Unavailable,
        }
    }

    /// Returns the instances that were removed a short time ago.
    fn recently_removed(&self, now: Tick) -> impl Iterator<Item = &Peer> {
        let memory = self.config.rank_memory;
        let removed = self.removed.iter();
        removed
            .filter(move |(at, _)| now - *at < memory)
            .map(|(_, peer)| peer)
    }

    /// Returns another instance if it is live.
    fn live_peer(&self, now: Tick, name: &Name) -> Option<Peer> {
        let state = &self.peers[self.find(name).ok()?];
        self.is_peer_live(now, state).then(|| state.peer.clone())
    }
}

/// Returns the rank of an instance for a server; the highest comes first.
fn key(server: &Name, domain: &Name, peer: &Peer) -> (bool, u64) {
    (peer.domain == *domain, hash(server, &peer.name))
}
