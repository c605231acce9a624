//! Which instances answer.

use core::{hash::Hasher, net::SocketAddr, time::Duration};
use std::hash::DefaultHasher;

use base::{Name, Tick};

use crate::Config;

/// Another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The machine's name.
    pub name: Name,
    /// Where it answers instances.
    pub address: SocketAddr,
}

/// The instances that are known.
#[derive(Clone, Debug)]
pub struct Members {
    config: Config,
    own: Name,
    known: Vec<Known>,
}

#[derive(Clone, Debug)]
struct Known {
    peer: Peer,
    heard: Option<Tick>,
    is_lost: bool,
    next: Tick,
}

impl Members {
    /// Knows nobody but the own instance.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use mesh::{Config, Members, Peer};
    /// let mut members = Members::new(Config::default(), "a".into());
    /// let peer = Peer { name: "b".into(), address: "10.0.0.2:7740".parse().unwrap() };
    /// members.add(peer);
    /// let now = Tick::from_millis(5);
    /// assert_eq!(members.live(now), 1);
    /// members.heard(now, &"b".into());
    /// assert_eq!(members.live(now), 2);
    /// ```
    pub const fn new(config: Config, own: Name) -> Self {
        Self {
            config,
            own,
            known: Vec::new(),
        }
    }

    /// Takes note of an instance and where it answers.
    pub fn add(&mut self, peer: Peer) {
        if peer.name == self.own {
            return;
        }
        match self.find(&peer.name) {
            Ok(at) if self.known[at].peer == peer => {}
            Ok(at) => self.known[at] = Known::new(peer),
            Err(at) => self.known.insert(at, Known::new(peer)),
        }
    }

    /// Forgets an instance that said that it leaves.
    pub fn remove(&mut self, name: &Name) {
        if let Ok(at) = self.find(name) {
            self.known.remove(at);
        }
    }

    /// Takes note that an instance answered, and tells whether it had been lost.
    pub fn heard(&mut self, now: Tick, name: &Name) -> bool {
        let Ok(at) = self.find(name) else {
            return false;
        };
        let known = &mut self.known[at];
        let was_lost = known.is_lost || known.heard.is_none();
        known.heard = Some(now);
        known.is_lost = false;
        was_lost
    }

    /// Takes note that a call to an instance failed, and tells whether it had been live.
    pub fn lost(&mut self, name: &Name) -> bool {
        let Ok(at) = self.find(name) else {
            return false;
        };
        let known = &mut self.known[at];
        let was_live = !known.is_lost && known.heard.is_some();
        known.is_lost = true;
        was_live
    }

    /// Returns the instances that a pulse is due for, and plans the next ones.
    pub fn due(&mut self, now: Tick) -> Vec<Peer> {
        let pause = self.pause();
        let due = self.known.iter_mut().filter(|known| known.next <= now);
        due.map(|known| {
            known.next = now + pause;
            known.peer.clone()
        })
        .collect()
    }

    /// Returns the time that a pulse may take.
    pub fn patience(&self) -> Duration {
        self.pause() * 2
    }

    /// Tells whether an instance answers.
    pub fn is_live(&self, now: Tick, name: &Name) -> bool {
        *name == self.own
            || self
                .find(name)
                .is_ok_and(|at| self.is_known_live(now, &self.known[at]))
    }

    /// Returns the number of instances that answer, the own one included.
    pub fn live(&self, now: Tick) -> usize {
        let live = self.known.iter();
        1 + live.filter(|known| self.is_known_live(now, known)).count()
    }

    /// Returns the other instance that feeds a pool, none where that is the own one.
    pub fn feeder(&self, now: Tick, pool: &Name) -> Option<&Peer> {
        let live = self.known.iter();
        let live = live.filter(|known| self.is_known_live(now, known));
        let best = live.max_by_key(|known| weight(pool, &known.peer.name))?;
        (weight(pool, &best.peer.name) > weight(pool, &self.own)).then_some(&best.peer)
    }

    fn pause(&self) -> Duration {
        let count = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        self.config.pulse.max(self.config.pulse_each * count)
    }

    fn is_known_live(&self, now: Tick, known: &Known) -> bool {
        let limit = self.pause() * self.config.missed;
        !known.is_lost && known.heard.is_some_and(|heard| now - heard < limit)
    }

    fn find(&self, name: &Name) -> Result<usize, usize> {
        self.known
            .binary_search_by(|known| known.peer.name.cmp(name))
    }
}

impl Known {
    const fn new(peer: Peer) -> Self {
        Self {
            peer,
            heard: None,
            is_lost: false,
            next: Tick::from_micros(0),
        }
    }
}

/// Returns an instance's weight for a pool in rendezvous hashing.
fn weight(pool: &Name, instance: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(pool.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(instance.as_str().as_bytes());
    hasher.finish()
}
