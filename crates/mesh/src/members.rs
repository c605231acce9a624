//! Which instances answer, and which of them holds a task.

use core::{cmp::Reverse, hash::Hasher, net::SocketAddr, time::Duration};
use std::hash::DefaultHasher;

use base::{Name, Tick};

use crate::Config;

/// An instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The machine's name.
    pub name: Name,
    /// Where it answers instances.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Its processor share, in thousandths of a core.
    pub capacity: u32,
}

/// Who holds a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The own instance.
    Local,
    /// Another instance.
    Peer(Peer),
    /// No instance of the failure domain answers.
    Unavailable,
}

/// The instances that are known.
#[derive(Clone, Debug)]
pub struct Members {
    config: Config,
    own: Peer,
    known: Vec<Known>,
}

#[derive(Clone, Debug)]
struct Known {
    peer: Peer,
    /// When it answered last, or was first relied on after a time without pulses.
    heard: Option<Tick>,
    is_lost: bool,
    /// When the next pulse is due.
    next: Tick,
    /// When it was last relied on, or would have been if it answered.
    wanted: Option<Tick>,
}

impl Members {
    /// Knows nobody but the own instance.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use mesh::{Config, Members, Peer};
    /// let peer = |name: &str| Peer {
    ///     name: name.into(),
    ///     address: "10.0.0.2:7740".parse().unwrap(),
    ///     domain: "d".into(),
    ///     capacity: 250,
    /// };
    /// let mut members = Members::new(Config::default(), peer("a"));
    /// members.add(peer("b"));
    /// let now = Tick::from_millis(5);
    /// assert_eq!(members.live_count(now), 1);
    /// members.mark_live(now, &"b".into());
    /// assert_eq!(members.live_count(now), 2);
    /// ```
    pub const fn new(config: Config, own: Peer) -> Self {
        Self {
            config,
            own,
            known: Vec::new(),
        }
    }

    /// Takes note of an instance and where it answers.
    pub fn add(&mut self, peer: Peer) {
        if peer.name == self.own.name {
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
    pub fn mark_live(&mut self, now: Tick, name: &Name) -> bool {
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
    pub fn mark_lost(&mut self, name: &Name) -> bool {
        let Ok(at) = self.find(name) else {
            return false;
        };
        let known = &mut self.known[at];
        let was_live = !known.is_lost && known.heard.is_some();
        known.is_lost = true;
        was_live
    }

    /// Returns the instances that a pulse is due for, and plans the next ones.
    pub fn due_heartbeats(&mut self, now: Tick) -> Vec<Peer> {
        let has_cells = self.has_cells();
        let config = &self.config;
        let is_due = |known: &&mut Known| {
            let is_watched = !has_cells || known.is_watched(now, config);
            is_watched && known.next <= now
        };
        let due = self.known.iter_mut().filter(is_due);
        due.map(|known| {
            known.next = now
                + match (has_cells, known.is_lost) {
                    (false, _) => config.heartbeat_interval,
                    (true, false) => config.cell_heartbeat_interval,
                    (true, true) => config.lost_heartbeat_interval,
                };
            known.peer.clone()
        })
        .collect()
    }

    /// Returns the time that a pulse may take.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.pause() * 2
    }

    /// Tells whether the deployment is divided into cells.
    pub const fn has_cells(&self) -> bool {
        self.known.len() >= self.config.full_mesh_limit
    }

    /// Tells whether an instance answers.
    pub fn is_live(&self, now: Tick, name: &Name) -> bool {
        *name == self.own.name
            || self
                .find(name)
                .is_ok_and(|at| self.is_known_live(now, &self.known[at]))
    }

    /// Returns the number of instances that answer, the own one included.
    pub fn live_count(&self, now: Tick) -> usize {
        let live = self.known.iter();
        1 + live.filter(|known| self.is_known_live(now, known)).count()
    }

    /// Returns the number of instances that are known, whether they answer or not, the own one included.
    pub const fn count(&self) -> usize {
        1 + self.known.len()
    }

    /// Names the instance that holds a task: the strongest that answers, chance deciding between equals.
    ///
    /// In a deployment of cells the task is that of one failure domain, and an instance that has not been
    /// relied on lately is taken to answer until a call or a pulse to it fails.
    pub fn owner(&mut self, now: Tick, task: &Name, domain: &Name) -> Owner {
        let has_cells = self.has_cells();
        let is_in = |peer: &Peer| !has_cells || peer.domain == *domain;
        let known = (0..self.known.len()).filter(|at| is_in(&self.known[*at].peer));
        let mut ranks: Vec<_> = known
            .map(|at| (rank(task, &self.known[at].peer), Some(at)))
            .collect();
        if is_in(&self.own) {
            ranks.push((rank(task, &self.own), None));
        }
        ranks.sort_by_key(|(rank, _)| Reverse(*rank));
        for (_, at) in ranks {
            let Some(at) = at else {
                return Owner::Local;
            };
            self.want(now, at);
            if self.is_known_live(now, &self.known[at]) {
                return Owner::Peer(self.known[at].peer.clone());
            }
        }
        Owner::Unavailable
    }

    /// Takes note that an instance is relied on, or would be if it answered.
    fn want(&mut self, now: Tick, at: usize) {
        let has_cells = self.has_cells();
        let known = &mut self.known[at];
        if has_cells && !known.is_lost && !known.is_watched(now, &self.config) {
            known.heard = Some(now);
            known.next = now;
        }
        known.wanted = Some(now);
    }

    const fn pause(&self) -> Duration {
        if self.has_cells() {
            self.config.cell_heartbeat_interval
        } else {
            self.config.heartbeat_interval
        }
    }

    fn is_known_live(&self, now: Tick, known: &Known) -> bool {
        let limit = self.pause() * self.config.max_missed_heartbeats;
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
            wanted: None,
        }
    }

    fn is_watched(&self, now: Tick, config: &Config) -> bool {
        self.wanted
            .is_some_and(|at| now - at < config.monitoring_period)
    }
}

/// Returns an instance's rank for a task: its strength, and between equals rendezvous hashing.
fn rank(task: &Name, peer: &Peer) -> (u32, u64) {
    let mut hasher = DefaultHasher::new();
    hasher.write(task.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(peer.name.as_str().as_bytes());
    (peer.capacity, hasher.finish())
}
