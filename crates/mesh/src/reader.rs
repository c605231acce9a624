//! Decides for one instance whether it reads the platform's store itself, or follows another instance that does.
//!
//! In a deployment of cells, calls to the store must not grow with the number of instances. The first instances of a
//! failure domain, by the order of [`Members::candidates`], are its reader and the reader's successors. An instance
//! follows the first of them that answers and has read the store recently. If they answer but none has, the store is
//! probably out of reach for all, so only the successors and, after a long random delay, the other instances try it. If none
//! of them answers, the instance is cut off or all of them failed, so it soon reads the store itself.

use core::time::Duration;

use base::{Name, Tick};

use crate::{Members, Peer, configs, members::Candidate};

/// The name of the task to read the store for a failure domain.
const READ_TASK: &str = "store";

/// How an instance learns what the store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It reads the store.
    Read,
    /// It follows another instance, which reads the store.
    Follow {
        /// The instance.
        reader: Peer,
        /// Whether this instance also tries the store, as it is to read it again once that succeeds.
        is_probing: bool,
    },
    /// No instance that it knows reads the store; this one tries it now.
    Probe {
        /// Whether it is one of the first instances of its failure domain, which try the store until it answers.
        is_candidate: bool,
    },
    /// No instance that it knows reads the store; this one tries it later.
    Wait,
}

/// What an instance knows about the readers of its failure domain.
#[derive(Clone, Debug)]
pub struct Reader {
    config: configs::Reader,
    /// When each instance that answered last read the store, as far as it reads it itself; sorted by name.
    peers: Vec<(Name, Option<Tick>)>,
    /// The time as of which the local instance has read all topics that others rely on.
    read_at: Option<Tick>,
    /// When a read of the local instance last succeeded.
    succeeded_at: Option<Tick>,
    /// The failed reads since then.
    failures: u32,
    /// When the first of them failed.
    failing_since: Option<Tick>,
    /// The first and the newest read of other instances since then, as far as known, without a gap in between.
    others_read: Option<(Tick, Tick)>,
    /// When the local instance reads the store because no candidate answers.
    alone_from: Option<Tick>,
    /// When the local instance next tries the store although it is no successor.
    next_probe: Option<Tick>,
    probe_delay: Duration,
}

impl Reader {
    /// Creates the state of an instance that has not read anything.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use mesh::{Config, Members, Peer, Reader, configs, reader::Role};
    /// let local = Peer {
    ///     name: "a".into(),
    ///     address: "10.0.0.2:7740".parse().unwrap(),
    ///     domain: "d".into(),
    ///     capacity: 250,
    /// };
    /// let mut members = Members::new(Config::default(), local);
    /// let mut reader = Reader::new(configs::Reader::default());
    /// // Each instance of a small deployment reads the store.
    /// assert_eq!(reader.role(Tick::from_millis(5), &mut members, 0.5), Role::Read);
    /// ```
    pub const fn new(config: configs::Reader) -> Self {
        Self {
            probe_delay: config.min_probe_delay,
            config,
            peers: Vec::new(),
            read_at: None,
            succeeded_at: None,
            failures: 0,
            failing_since: None,
            others_read: None,
            alone_from: None,
            next_probe: None,
        }
    }

    /// Records that a read of the local instance succeeded.
    pub const fn record_success(&mut self, now: Tick) {
        self.succeeded_at = Some(now);
        self.failures = 0;
        self.failing_since = None;
        self.others_read = None;
        self.next_probe = None;
        self.probe_delay = self.config.min_probe_delay;
    }

    /// Records the time as of which the local instance has read all topics that others rely on.
    pub const fn record_read(&mut self, read_at: Tick) {
        self.read_at = Some(read_at);
    }

    /// Records that a read of the local instance failed.
    pub fn record_failure(&mut self, now: Tick) {
        self.failures += 1;
        self.failing_since.get_or_insert(now);
    }

    /// Returns whether other instances have read the store for some time while the reads of the local instance failed, so
    /// that the store served them all the while.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// use mesh::{Reader, configs};
    /// let mut reader = Reader::new(configs::Reader::default());
    /// reader.record_failure(Tick::from_millis(1_000));
    /// let age = Duration::from_millis(500);
    /// reader.record_answer(Tick::from_millis(2_000), &"b".into(), Some(age));
    /// assert!(reader.is_cut_off(Tick::from_millis(4_000)));
    /// reader.record_success(Tick::from_millis(4_000));
    /// assert!(!reader.is_cut_off(Tick::from_millis(4_001)));
    /// ```
    pub fn is_cut_off(&self, now: Tick) -> bool {
        let first = self.others_read.map(|(first, _)| first);
        first.is_some_and(|first| now - first >= self.config.max_recovery_lag)
    }

    /// Records the answer of another instance: the age of its last read, or `None` if it doesn't read the store.
    pub fn record_answer(&mut self, now: Tick, peer: &Name, age: Option<Duration>) {
        let read_at = age.map(|age| Tick::default() + (now - (Tick::default() + age)));
        if let (Some(failing_since), Some(read_at)) = (self.failing_since, read_at)
            && failing_since <= read_at
        {
            // The store may have been out of reach for all in a longer time without a read.
            let known = self
                .others_read
                .filter(|(_, newest)| read_at - *newest < self.config.max_read_gap);
            let (first, newest) = known.unwrap_or((read_at, read_at));
            self.others_read = Some((first, newest.max(read_at)));
        }
        match self.peers.binary_search_by(|(name, _)| name.cmp(peer)) {
            Ok(at) => self.peers[at].1 = read_at,
            Err(at) => self.peers.insert(at, (peer.clone(), read_at)),
        }
    }

    /// Returns the age of the local instance's last read, if others may rely on it.
    pub fn read_age(&self, now: Tick) -> Option<Duration> {
        let age = now - self.read_at?;
        (age < self.config.max_age).then_some(age)
    }

    /// Returns whether the last reads of the local instance failed.
    const fn is_failing(&self) -> bool {
        self.failures >= self.config.max_failures
    }

    /// Returns whether another instance reads the store, or has not said yet.
    fn may_read(&self, now: Tick, peer: &Name) -> bool {
        match self.peers.binary_search_by(|(name, _)| name.cmp(peer)) {
            Ok(at) => self.peers[at]
                .1
                .is_some_and(|read_at| now - read_at < self.config.max_age),
            Err(_) => true,
        }
    }

    /// Returns the role of the local instance. `draw` is a random number from 0 to 1, which spreads the attempts of
    /// instances that lost their reader.
    pub fn role(&mut self, now: Tick, members: &mut Members, draw: f64) -> Role {
        if !members.has_cells() {
            return Role::Read;
        }
        let mut is_successor = false;
        let mut is_answered = false;
        for candidate in members.candidates(now, &READ_TASK.into(), self.config.candidates) {
            match candidate {
                Candidate::Local if self.is_failing() => is_successor = true,
                Candidate::Local => return Role::Read,
                Candidate::Peer { peer, is_live } => {
                    members.monitor(now, &peer.name);
                    is_answered |= is_live;
                    if is_live && self.may_read(now, &peer.name) {
                        self.next_probe = None;
                        self.alone_from = None;
                        return Role::Follow {
                            reader: peer,
                            is_probing: is_successor,
                        };
                    }
                }
            }
        }
        if is_successor {
            return Role::Probe { is_candidate: true };
        }
        let succeeded_at = self.succeeded_at;
        if succeeded_at.is_some_and(|at| now - at < self.config.max_age) {
            return Role::Read;
        }
        if is_answered {
            self.alone_from = None;
        } else {
            let delay = self.config.max_alone_delay.mul_f64(draw);
            let alone_from = *self.alone_from.get_or_insert(now + delay);
            if alone_from <= now {
                return Role::Read;
            }
        }
        // The attempts of a failure domain don't grow with its instances.
        let share = members.domain_count() as f64 / self.config.probing_instances as f64;
        let delay = |delay: Duration| delay.mul_f64(share.max(1.0));
        match self.next_probe {
            Some(at) if at <= now => {
                self.probe_delay = (self.probe_delay * 2).min(self.config.max_probe_delay);
                self.next_probe = Some(now + delay(self.probe_delay).mul_f64(0.5 + draw));
                Role::Probe {
                    is_candidate: false,
                }
            }
            Some(_) => Role::Wait,
            None => {
                self.next_probe = Some(now + delay(self.probe_delay).mul_f64(draw));
                Role::Wait
            }
        }
    }
}
