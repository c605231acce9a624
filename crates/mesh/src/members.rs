//! Tracks which instances answer, and which of them owns a task.

mod granters;
mod holders;

use core::{cmp::Reverse, net::SocketAddr, time::Duration};

use base::{Name, Stamp, Tick};

use crate::{Config, rendezvous::hash};

/// An instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The machine's name.
    pub name: Name,
    /// The address at which it answers other instances.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Its CPU share, in thousandths of a core.
    pub capacity: u32,
}

/// The owner of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The local instance.
    Local,
    /// Another instance.
    Peer(Peer),
    /// No instance of the failure domain answers.
    Unavailable,
}

/// An instance of the local failure domain that may take a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Candidate {
    /// The local instance.
    Local,
    /// Another instance.
    Peer {
        /// The instance.
        peer: Peer,
        /// Whether it is live.
        is_live: bool,
    },
}

/// The known instances of a deployment.
#[derive(Clone, Debug)]
pub struct Members {
    config: Config,
    local: Peer,
    /// Whether the local instance reaches no servers.
    is_cut_off: bool,
    /// Whether the local instance is stopping.
    is_leaving: bool,
    peers: Vec<PeerState>,
    /// Instances that were removed a short time ago, which may still act as if they were listed.
    removed: Vec<(Tick, Peer)>,
}

#[derive(Clone, Debug)]
struct PeerState {
    peer: Peer,
    /// When its process started, as far as it is known.
    started_at: Stamp,
    /// When it last answered, or was first relied on after a time without heartbeats.
    last_answer: Option<Tick>,
    is_lost: bool,
    /// Whether it stated that it reaches no servers, so that it takes no tasks.
    is_cut_off: bool,
    /// Whether it announced that it is stopping; it takes no new tasks and finishes those that it has.
    is_leaving: bool,
    /// When the next heartbeat is due.
    next_heartbeat: Tick,
    /// When it was last relied on, or would have been if it were live.
    last_used: Option<Tick>,
}

impl Members {
    /// Creates a view that knows only the local instance.
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
    pub const fn new(config: Config, local: Peer) -> Self {
        Self {
            config,
            local,
            is_cut_off: false,
            is_leaving: false,
            peers: Vec::new(),
            removed: Vec::new(),
        }
    }

    /// Adds an instance, or replaces it if its address, domain or capacity changed.
    pub fn add(&mut self, peer: Peer) {
        if peer.name == self.local.name {
            return;
        }
        match self.find(&peer.name) {
            Ok(at) if self.peers[at].peer == peer => {}
            Ok(at) => self.peers[at] = PeerState::new(peer),
            Err(at) => self.peers.insert(at, PeerState::new(peer)),
        }
    }

    /// Adds an instance as [`Members::add`] does, and returns whether its process is another one than before, which knows
    /// nothing of what the other instances were told.
    pub fn record_start(&mut self, peer: Peer, started_at: Stamp) -> bool {
        if peer.name == self.local.name {
            return false;
        }
        let known = self.find(&peer.name).ok();
        let known = known.map(|at| self.peers[at].started_at);
        let name = peer.name.clone();
        self.add(peer);
        if let Ok(at) = self.find(&name) {
            self.peers[at].started_at = started_at;
        }
        known != Some(started_at)
    }

    /// Removes an instance that announced its departure.
    pub fn remove(&mut self, name: &Name) {
        if let Ok(at) = self.find(name) {
            self.peers.remove(at);
        }
    }

    /// Records that an instance answered, and returns whether it was lost before.
    pub fn mark_live(&mut self, now: Tick, name: &Name) -> bool {
        let Ok(at) = self.find(name) else {
            return false;
        };
        let next_heartbeat = now + self.heartbeat_interval();
        let state = &mut self.peers[at];
        let was_lost = state.is_lost || state.last_answer.is_none();
        if was_lost {
            // The one that was scheduled for a lost instance comes only after this answer has expired.
            state.next_heartbeat = state.next_heartbeat.min(next_heartbeat);
        }
        state.last_answer = Some(now);
        state.is_lost = false;
        state.is_leaving = false;
        was_lost
    }

    /// Records that an instance announced that it is stopping.
    pub fn mark_leaving(&mut self, name: &Name) {
        if let Ok(at) = self.find(name) {
            self.peers[at].is_leaving = true;
        }
    }

    /// Records that a call to an instance failed, and returns whether it was live before.
    pub fn mark_lost(&mut self, name: &Name) -> bool {
        let Ok(at) = self.find(name) else {
            return false;
        };
        let state = &mut self.peers[at];
        let was_live = !state.is_lost && state.last_answer.is_some();
        state.is_lost = true;
        was_live
    }

    /// Returns the instances that are due for a heartbeat, and schedules the next ones.
    pub fn due_heartbeats(&mut self, now: Tick) -> Vec<Peer> {
        let has_cells = self.has_cells();
        let config = &self.config;
        let is_due = |state: &&mut PeerState| {
            let is_monitored = !has_cells || state.is_monitored(now, config);
            is_monitored && state.next_heartbeat <= now
        };
        let due = self.peers.iter_mut().filter(is_due);
        due.map(|state| {
            state.next_heartbeat = now
                + match (has_cells, state.is_lost) {
                    (false, _) => config.heartbeat_interval,
                    (true, false) => config.cell_heartbeat_interval,
                    (true, true) => config.lost_heartbeat_interval,
                };
            state.peer.clone()
        })
        .collect()
    }

    /// Returns the timeout of a heartbeat.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_interval() * 2
    }

    /// Returns whether the deployment is divided into cells.
    pub const fn has_cells(&self) -> bool {
        self.peers.len() >= self.config.full_mesh_limit
    }

    /// Returns whether an instance is unreachable, so that it won't finish the work that it has. An instance that is
    /// stopping, or was removed for it, finishes its work unless a call to it fails.
    pub fn is_unreachable(&self, now: Tick, name: &Name) -> bool {
        let Ok(at) = self.find(name) else {
            return false;
        };
        let state = &self.peers[at];
        state.is_lost || !state.is_leaving && !self.is_peer_live(now, state)
    }

    /// Returns whether an instance is live.
    pub fn is_live(&self, now: Tick, name: &Name) -> bool {
        *name == self.local.name
            || self
                .find(name)
                .is_ok_and(|at| self.is_peer_live(now, &self.peers[at]))
    }

    /// Returns the number of live instances, including the local one.
    pub fn live_count(&self, now: Tick) -> usize {
        let live = self.peers.iter();
        1 + live.filter(|state| self.is_peer_live(now, state)).count()
    }

    /// Returns the number of known instances, live or not, including the local one.
    pub const fn count(&self) -> usize {
        1 + self.peers.len()
    }

    /// Returns the number of known instances of the local failure domain, live or not, including the local one.
    pub fn domain_count(&self) -> usize {
        let peers = self.peers.iter();
        let in_domain = peers.filter(|state| state.peer.domain == self.local.domain);
        1 + in_domain.count()
    }

    /// Returns the owner of a task: the live instance with the highest capacity, and between equals the one that
    /// rendezvous hashing selects.
    ///
    /// In a deployment of cells each failure domain has its own owner, and an instance that was not relied on
    /// recently counts as live until a call or a heartbeat to it fails.
    pub fn owner(&mut self, now: Tick, task: &Name, domain: &Name) -> Owner {
        for at in self.ranked(task, domain) {
            let Some(at) = at else {
                if self.is_cut_off {
                    continue;
                }
                return Owner::Local;
            };
            self.record_use(now, at);
            let state = &self.peers[at];
            if self.is_peer_live(now, state) && !state.is_cut_off {
                return Owner::Peer(state.peer.clone());
            }
        }
        Owner::Unavailable
    }

    /// Records whether the local instance reaches servers.
    pub const fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Returns whether the local instance reaches no servers.
    pub const fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Records that the local instance is stopping, so that others grant turns in its place.
    pub const fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Records whether another instance reaches servers, as it states.
    pub fn mark_cut_off(&mut self, name: &Name, is_cut_off: bool) {
        if let Ok(at) = self.find(name) {
            self.peers[at].is_cut_off = is_cut_off;
        }
    }

    /// Returns whether another instance stated that it reaches no servers.
    pub fn is_peer_cut_off(&self, name: &Name) -> bool {
        self.find(name).is_ok_and(|at| self.peers[at].is_cut_off)
    }

    /// Returns an instance that reaches servers, was not tried and is allowed, those of the local failure domain first.
    /// `draw` from 0 to 1 selects one of several.
    pub fn helper(
        &mut self,
        now: Tick,
        tried: &[Name],
        draw: f64,
        is_allowed: impl Fn(&Peer) -> bool,
    ) -> Option<Peer> {
        let has_cells = self.has_cells();
        let may_help = |state: &PeerState| {
            let is_present = match has_cells && !state.is_monitored(now, &self.config) {
                // Instances without heartbeats are found lost by a call.
                true => !state.is_lost && !state.is_leaving,
                false => self.is_peer_live(now, state),
            };
            is_present
                && !state.is_cut_off
                && !tried.contains(&state.peer.name)
                && is_allowed(&state.peer)
        };
        let helpers = (0..self.peers.len()).filter(|at| may_help(&self.peers[*at]));
        let (near, far): (Vec<_>, Vec<_>) =
            helpers.partition(|at| self.peers[*at].peer.domain == self.local.domain);
        let helpers = if near.is_empty() { far } else { near };
        let at = (draw * helpers.len() as f64) as usize;
        let at = *helpers.get(at.min(helpers.len().checked_sub(1)?))?;
        self.record_use(now, at);
        Some(self.peers[at].peer.clone())
    }

    /// Returns whether rendezvous hashing selects the local instance for a task, among all known instances that are neither
    /// lost nor stopping.
    pub fn is_selected(&self, task: &Name) -> bool {
        let weight = |peer: &Peer| {
            let (_, hash) = rank(task, peer);
            (hash, peer.name.clone())
        };
        let own = weight(&self.local);
        let mut others = self.others().filter(|(_, is_lost)| !is_lost);
        others.all(|(other, _)| weight(other) < own)
    }

    /// Returns the first instances for a task in the local failure domain, live or not, in the order of
    /// [`Members::owner`].
    pub fn candidates(&self, now: Tick, task: &Name, count: usize) -> Vec<Candidate> {
        let ranked = self.ranked(task, &self.local.domain).into_iter();
        let candidates = ranked.take(count).map(|at| match at {
            None => Candidate::Local,
            Some(at) => Candidate::Peer {
                peer: self.peers[at].peer.clone(),
                is_live: self.is_peer_live(now, &self.peers[at]),
            },
        });
        candidates.collect()
    }

    /// Returns the other instances, and whether each is known to be lost or stopping.
    pub(crate) fn others(&self) -> impl Iterator<Item = (&Peer, bool)> {
        let peers = self.peers.iter();
        peers.map(|state| (&state.peer, state.is_lost || state.is_leaving))
    }

    /// Returns the local instance.
    pub(crate) const fn local(&self) -> &Peer {
        &self.local
    }

    /// Records that an instance is relied on, or would be if it were live, so that it gets heartbeats.
    pub fn monitor(&mut self, now: Tick, name: &Name) {
        if let Ok(at) = self.find(name) {
            self.record_use(now, at);
        }
    }

    /// Returns the instances that may take a task, the first one first: indices of `peers`, or `None` for the local
    /// instance.
    fn ranked(&self, task: &Name, domain: &Name) -> Vec<Option<usize>> {
        let has_cells = self.has_cells();
        let is_candidate = |peer: &Peer| !has_cells || peer.domain == *domain;
        let candidates = (0..self.peers.len()).filter(|at| is_candidate(&self.peers[*at].peer));
        let mut ranks: Vec<_> = candidates
            .map(|at| (rank(task, &self.peers[at].peer), Some(at)))
            .collect();
        if is_candidate(&self.local) {
            ranks.push((rank(task, &self.local), None));
        }
        ranks.sort_by_key(|(rank, _)| Reverse(*rank));
        ranks.into_iter().map(|(_, at)| at).collect()
    }

    /// Records that an instance is relied on, or would be if it were live.
    fn record_use(&mut self, now: Tick, at: usize) {
        let has_cells = self.has_cells();
        let state = &mut self.peers[at];
        if has_cells && !state.is_lost && !state.is_monitored(now, &self.config) {
            state.last_answer = Some(now);
            state.next_heartbeat = now;
        }
        state.last_used = Some(now);
    }

    const fn heartbeat_interval(&self) -> Duration {
        if self.has_cells() {
            self.config.cell_heartbeat_interval
        } else {
            self.config.heartbeat_interval
        }
    }

    fn is_peer_live(&self, now: Tick, state: &PeerState) -> bool {
        let limit = self.heartbeat_interval() * self.config.max_missed_heartbeats;
        !state.is_lost
            && !state.is_leaving
            && state
                .last_answer
                .is_some_and(|last_answer| now - last_answer < limit)
    }

    fn find(&self, name: &Name) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|state| state.peer.name.cmp(name))
    }
}

impl PeerState {
    const fn new(peer: Peer) -> Self {
        Self {
            peer,
            started_at: Stamp::from_millis(0),
            last_answer: None,
            is_lost: false,
            is_cut_off: false,
            is_leaving: false,
            next_heartbeat: Tick::from_micros(0),
            last_used: None,
        }
    }

    fn is_monitored(&self, now: Tick, config: &Config) -> bool {
        self.last_used
            .is_some_and(|at| now - at < config.monitoring_period)
    }
}

/// Returns an instance's rank for a task: its capacity, and between equals its rendezvous hash.
fn rank(task: &Name, peer: &Peer) -> (u32, u64) {
    (peer.capacity, hash(task, &peer.name))
}
