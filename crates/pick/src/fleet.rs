//! Load estimates of backend servers.

use core::time::Duration;

use base::{Name, Tick};
use site::roster::Server;

use crate::{
    Reachability,
    configs::Config,
    speed::{Reading, Speeds},
};

/// An instance's load estimates for all backend servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(crate) config: Config,
    servers: Vec<Stats>,
    /// The chains that engines are assumed to have cached, sorted by chain and engine.
    pub(crate) cached_chains: Vec<crate::engine::CachedChain>,
    peers: Vec<PeerLoads>,
    /// The sums of the load reports, sorted by server.
    peer_totals: Vec<Load>,
    /// The reachability of failure domains.
    pub reachability: Reachability,
    /// The speeds of servers relative to their pools.
    pub speeds: Speeds,
    pub(crate) cache_updates: Vec<crate::engine::Update>,
}

/// The newest load report of another instance.
#[derive(Clone, Debug)]
struct PeerLoads {
    instance: Name,
    reported_at: Tick,
    loads: Vec<Load>,
}

/// The load that an instance has in flight at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The server.
    pub server: Name,
    /// Prompt tokens that the server has yet to read.
    pub tokens: u64,
    /// Calls in flight.
    pub running: u32,
}

/// The load estimate of one server.
#[derive(Clone, Debug)]
pub(crate) struct Stats {
    id: Name,
    updated_at: Tick,
    /// Calls of this instance in flight.
    pub(crate) running: u32,
    /// Prompt tokens of these calls that the server has yet to read.
    pub(crate) queued_tokens: u64,
    /// Recent failures, decayed by the half-life.
    pub(crate) failures: f64,
    /// The moving average of the time to the head of an answer at the server's usual speed, in milliseconds.
    latency_ms: f64,
    /// The confidence in `latency_ms`, decayed by the half-life.
    confidence: f64,
    blocked_until: Tick,
    /// The number of blocks since the last answer; each doubles the next one.
    block_count: u32,
    /// The end of the pause that the server asked for.
    paused_until: Tick,
    /// When the next turn at the server may be left, if it limits its request rate.
    held_until: Tick,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The server answered.
    Answered {
        /// The time from sending the call to the head of the answer.
        latency: Duration,
    },
    /// The server failed.
    Failed,
    /// The instance abandoned the call itself.
    Abandoned,
    /// The server reported that it is full.
    Full,
    /// The server was unreachable.
    Unreachable,
}

impl Fleet {
    /// Creates a fleet without any estimates.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use pick::{Fleet, configs::Config, fleet::Completion};
    /// let mut fleet = Fleet::new(Config::default());
    /// let (id, now) = ("i-1".into(), Tick::default());
    /// fleet.record_start(now, &id, 0);
    /// fleet.record_completion(now, &id, Completion::Unreachable);
    /// assert!(fleet.is_blocked(now, &id));
    /// ```
    pub fn new(config: Config) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Records that a call with the given number of prompt tokens was sent.
    pub fn record_start(&mut self, now: Tick, id: &Name, tokens: u64) {
        let stats = self.stats(now, id);
        stats.running += 1;
        stats.queued_tokens += tokens;
    }

    /// Records that a prompt is about to be sent to a server, before [`Self::record_start`].
    pub fn record_prompt_sent(&mut self, now: Tick, server: &Server, tokens: u64) -> Reading {
        let own = self.get(&server.id).map_or(0, |stats| stats.queued_tokens);
        let queued = own + self.peer_load(now, &server.id).0;
        self.speeds.record_sent(now, server, tokens, queued)
    }

    /// Records the first event of an answer, which shows how fast the server reads.
    ///
    /// Returns whether its speed is told to other instances now.
    pub fn record_first_event(&mut self, now: Tick, server: &Server, reading: Reading) -> bool {
        let default_rate = self.config.tokens_per_ms;
        self.speeds
            .record_first_event(now, server, reading, default_rate)
    }

    /// Returns the prompt tokens that engines of a pool usually read per millisecond.
    pub fn tokens_per_ms(&self, pool: &Name) -> f64 {
        self.speeds
            .usual(pool, self.config.tokens_per_ms)
            .tokens_per_ms
    }

    /// Records that a server has read the prompt of a call.
    pub fn record_prompt_read(&mut self, now: Tick, id: &Name, tokens: u64) {
        let stats = self.stats(now, id);
        stats.queued_tokens = stats.queued_tokens.saturating_sub(tokens);
    }

    /// Records that a call ended.
    pub fn record_completion(&mut self, now: Tick, id: &Name, completion: Completion) {
        let config = self.config.clone();
        let momentary = self.speeds.momentary(now, id);
        let stats = self.stats(now, id);
        stats.running = stats.running.saturating_sub(1);
        match completion {
            Completion::Answered { latency } => {
                let ms = latency.as_secs_f64() * 1e3 / momentary;
                let weight = config.latency_weight.max(1.0 - stats.confidence);
                stats.latency_ms += weight * (ms - stats.latency_ms);
                stats.confidence = 1.0;
                stats.block_count = 0;
            }
            Completion::Failed => stats.failures += 1.0,
            Completion::Full => stats.failures += 0.3,
            Completion::Abandoned => {}
            Completion::Unreachable => {
                let duration = config.initial_block * 2_u32.pow(stats.block_count.min(6));
                stats.blocked_until = now + duration.min(config.max_block);
                stats.block_count += 1;
                stats.failures += 1.0;
            }
        }
    }

    /// Returns the load that this instance has in flight, by server.
    pub fn local_loads(&self) -> Vec<Load> {
        let busy = self.servers.iter().filter(|stats| stats.running > 0);
        busy.map(|stats| Load {
            server: stats.id.clone(),
            tokens: stats.queued_tokens,
            running: stats.running,
        })
        .collect()
    }

    /// Records the load that another instance has in flight.
    pub fn record_peer_loads(&mut self, now: Tick, instance: &Name, mut loads: Vec<Load>) {
        loads.sort_by(|a, b| a.server.cmp(&b.server));
        let ttl = self.config.peer_load_ttl;
        let outdated = self.peers.extract_if(.., |peer| {
            peer.instance == *instance || now - peer.reported_at >= ttl
        });
        for load in outdated.flat_map(|peer| peer.loads) {
            let totals = &mut self.peer_totals;
            if let Ok(at) = totals.binary_search_by(|total| total.server.cmp(&load.server)) {
                totals[at].tokens = totals[at].tokens.saturating_sub(load.tokens);
                totals[at].running = totals[at].running.saturating_sub(load.running);
                if totals[at].tokens == 0 && totals[at].running == 0 {
                    totals.remove(at);
                }
            }
        }
        for load in &loads {
            let totals = &mut self.peer_totals;
            match totals.binary_search_by(|total| total.server.cmp(&load.server)) {
                Ok(at) => {
                    totals[at].tokens = totals[at].tokens.saturating_add(load.tokens);
                    totals[at].running = totals[at].running.saturating_add(load.running);
                }
                Err(at) => totals.insert(at, load.clone()),
            }
        }
        self.peers.push(PeerLoads {
            instance: instance.clone(),
            reported_at: now,
            loads,
        });
    }

    /// Returns the queued prompt tokens and the calls of other instances at a server.
    pub(crate) fn peer_load(&self, now: Tick, server: &Name) -> (u64, u32) {
        let ttl = self.config.peer_load_ttl;
        // Reports are kept in the order of their arrival.
        let has_expired = |peer: &PeerLoads| now - peer.reported_at >= ttl;
        if !self.peers.first().is_some_and(has_expired) {
            let totals = &self.peer_totals;
            let at = totals.binary_search_by(|total| total.server.cmp(server));
            return at.map_or((0, 0), |at| (totals[at].tokens, totals[at].running));
        }
        let valid = self.peers.iter().filter(|peer| !has_expired(peer));
        let loads = valid.filter_map(|peer| {
            let at = peer.loads.binary_search_by(|load| load.server.cmp(server));
            at.ok().map(|at| &peer.loads[at])
        });
        loads.fold((0, 0), |(tokens, running), load| {
            (tokens + load.tokens, running + load.running)
        })
    }

    /// Returns whether a server currently gets no requests.
    pub fn is_blocked(&self, now: Tick, id: &Name) -> bool {
        self.unblocked_at(id).is_some_and(|until| now < until)
    }

    /// Returns when a server that was blocked, asked for a pause or limits its request rate gets requests again.
    pub fn unblocked_at(&self, id: &Name) -> Option<Tick> {
        let stats = &self.servers[self.find(id).ok()?];
        let stated = stats.paused_until.max(stats.held_until);
        Some(stats.blocked_until.max(stated))
    }

    /// Returns whether a server gets no requests for another reason than its request rate.
    pub fn is_unusable(&self, now: Tick, id: &Name) -> bool {
        self.find(id).is_ok_and(|at| {
            let stats = &self.servers[at];
            now < stats.blocked_until.max(stats.paused_until)
        })
    }

    /// Forgets which servers and failure domains were unreachable, as the links of the local instance were the cause.
    pub fn forget_unreachable(&mut self) {
        for stats in &mut self.servers {
            stats.blocked_until = Tick::default();
            stats.block_count = 0;
        }
        self.reachability = Reachability::default();
    }

    /// Records when the next turn may be left at a server that limits its request rate.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use pick::Fleet;
    /// let (mut fleet, id) = (Fleet::default(), "i-1".into());
    /// fleet.hold(Tick::from_millis(5), &id, Tick::from_millis(900));
    /// assert!(fleet.is_blocked(Tick::from_millis(899), &id));
    /// assert!(!fleet.is_unusable(Tick::from_millis(899), &id));
    /// ```
    pub fn hold(&mut self, now: Tick, id: &Name, until: Tick) {
        self.stats(now, id).held_until = until;
    }

    /// Returns when the next turn may be left at a server that limits its request rate, if that is later.
    pub fn held_until(&self, now: Tick, id: &Name) -> Option<Tick> {
        let stats = &self.servers[self.find(id).ok()?];
        (now < stats.held_until).then_some(stats.held_until)
    }

    /// Records that a server asked for a pause; a shorter one doesn't end a longer one.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use pick::Fleet;
    /// let (mut fleet, id) = (Fleet::default(), "i-1".into());
    /// fleet.pause(Tick::from_millis(5), &id, Tick::from_millis(900));
    /// assert!(fleet.is_blocked(Tick::from_millis(899), &id));
    /// assert!(!fleet.is_blocked(Tick::from_millis(900), &id));
    /// ```
    pub fn pause(&mut self, now: Tick, id: &Name, until: Tick) {
        let stats = self.stats(now, id);
        stats.paused_until = stats.paused_until.max(until);
    }

    /// Returns the end of the pause that a server asked for, if it has not ended.
    pub fn paused_until(&self, now: Tick, id: &Name) -> Option<Tick> {
        let stats = &self.servers[self.find(id).ok()?];
        (now < stats.paused_until).then_some(stats.paused_until)
    }

    /// Returns the number of calls of this instance in flight at a server.
    pub fn running(&self, id: &Name) -> u32 {
        self.find(id).map_or(0, |at| self.servers[at].running)
    }

    /// Returns the number of calls of all instances in flight at a server, as far as they told.
    pub fn running_anywhere(&self, now: Tick, id: &Name) -> u32 {
        let (_, peers) = self.peer_load(now, id);
        self.running(id).saturating_add(peers)
    }

    /// Removes servers without calls in flight that were not used for the given time.
    pub fn remove_idle(&mut self, now: Tick, idle: Duration) {
        self.speeds.remove_forgotten(now);
        self.servers.retain(|stats| {
            stats.running > 0 || now < stats.paused_until || now - stats.updated_at < idle
        });
    }

    pub(crate) fn get(&self, id: &Name) -> Option<&Stats> {
        self.find(id).ok().map(|at| &self.servers[at])
    }

    fn stats(&mut self, now: Tick, id: &Name) -> &mut Stats {
        let half_life = self.config.half_life;
        let at = match self.find(id) {
            Ok(at) => at,
            Err(at) => {
                self.servers.insert(at, Stats::new(id, now));
                at
            }
        };
        let stats = &mut self.servers[at];
        let decay = decay(now - stats.updated_at, half_life);
        stats.failures *= decay;
        stats.confidence *= decay;
        stats.updated_at = now;
        stats
    }

    fn find(&self, id: &Name) -> Result<usize, usize> {
        self.servers.binary_search_by(|stats| stats.id.cmp(id))
    }
}

impl Stats {
    fn new(id: &Name, now: Tick) -> Self {
        Self {
            id: id.clone(),
            updated_at: now,
            running: 0,
            queued_tokens: 0,
            failures: 0.0,
            latency_ms: 0.0,
            confidence: 0.0,
            blocked_until: Tick::default(),
            block_count: 0,
            paused_until: Tick::default(),
            held_until: Tick::default(),
        }
    }

    /// Returns the latency estimate, which decays towards `default_ms` as it ages. `momentary` is the factor by which
    /// work takes longer now than usual.
    pub(crate) fn latency_ms(
        &self,
        now: Tick,
        config: &Config,
        momentary: f64,
        default_ms: f64,
    ) -> f64 {
        let confidence = self.confidence * decay(now - self.updated_at, config.half_life);
        confidence * self.latency_ms * momentary + (1.0 - confidence) * default_ms
    }

    /// Returns the recent failures, decayed to the current time.
    pub(crate) fn failures(&self, now: Tick, config: &Config) -> f64 {
        self.failures * decay(now - self.updated_at, config.half_life)
    }
}

pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.div_duration_f64(half_life))
}
