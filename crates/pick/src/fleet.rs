//! What an instance saw of each backend server.

use core::time::Duration;

use base::{Name, Tick};

use crate::{Reachability, configs::Config};

/// What an instance saw of all backend servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(crate) config: Config,
    servers: Vec<Seen>,
    pub(crate) parts: Vec<crate::engine::Held>,
    others: Vec<Other>,
    /// Which failure domains can be reached.
    pub reachability: Reachability,
    pub(crate) news: Vec<crate::engine::Update>,
}

/// What other instances have under way, as each of them told last.
#[derive(Clone, Debug)]
struct Other {
    instance: Name,
    told: Tick,
    loads: Vec<Load>,
}

/// What an instance has under way at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The server.
    pub server: Name,
    /// Prompt tokens that wait to be read.
    pub tokens: u64,
    /// Calls that run.
    pub running: u32,
}

/// What was seen of one server.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    id: Name,
    touched: Tick,
    /// Own calls under way.
    pub(crate) running: u32,
    /// Prompt tokens of own calls that have not answered yet.
    pub(crate) line: u64,
    /// Recent failures; halves with each half-life.
    pub(crate) failures: f64,
    /// The usual time to the head of an answer in milliseconds, and how much is known of it.
    usual_ms: f64,
    weight: f64,
    blocked_until: Tick,
    strikes: u32,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It was answered, `head` after it was sent.
    Answered {
        /// The time to the head of the answer.
        latency: Duration,
    },
    /// The server failed it.
    Failed,
    /// The instance gave it up itself.
    Abandoned,
    /// The server stated that it is full.
    Full,
    /// The server can't be reached.
    Unreachable,
}

impl Fleet {
    /// Makes a fleet of which nothing is known.
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

    /// Takes note of a call that is sent, with the prompt tokens it brings.
    pub fn record_start(&mut self, now: Tick, id: &Name, tokens: u64) {
        let seen = self.seen(now, id);
        seen.running += 1;
        seen.line += tokens;
    }

    /// Takes note that the prompt of a call was read.
    pub fn record_prompt_read(&mut self, now: Tick, id: &Name, tokens: u64) {
        let seen = self.seen(now, id);
        seen.line = seen.line.saturating_sub(tokens);
    }

    /// Takes note of the end of a call.
    pub fn record_completion(&mut self, now: Tick, id: &Name, end: Completion) {
        let config = self.config.clone();
        let seen = self.seen(now, id);
        seen.running = seen.running.saturating_sub(1);
        match end {
            Completion::Answered { latency } => {
                let ms = latency.as_secs_f64() * 1e3;
                let gain = config.latency_weight.max(1.0 - seen.weight);
                seen.usual_ms += gain * (ms - seen.usual_ms);
                seen.weight = 1.0;
                seen.strikes = 0;
            }
            Completion::Failed => seen.failures += 1.0,
            Completion::Full => seen.failures += 0.3,
            Completion::Abandoned => {}
            Completion::Unreachable => {
                let span = config.initial_block * 2_u32.pow(seen.strikes.min(6));
                seen.blocked_until = now + span.min(config.max_block);
                seen.strikes += 1;
                seen.failures += 1.0;
            }
        }
    }

    /// Returns what this instance has under way, by server.
    pub fn local_loads(&self) -> Vec<Load> {
        let busy = self.servers.iter().filter(|seen| seen.running > 0);
        busy.map(|seen| Load {
            server: seen.id.clone(),
            tokens: seen.line,
            running: seen.running,
        })
        .collect()
    }

    /// Takes note of what another instance has under way.
    pub fn record_peer_loads(&mut self, now: Tick, instance: &Name, mut loads: Vec<Load>) {
        loads.sort_by(|a, b| a.server.cmp(&b.server));
        self.others.retain(|other| other.instance != *instance);
        self.others.push(Other {
            instance: instance.clone(),
            told: now,
            loads,
        });
    }

    /// Returns the prompt tokens in line and the calls of other instances at a server.
    pub(crate) fn others(&self, now: Tick, server: &Name) -> (u64, u32) {
        let told = self.others.iter();
        let told = told.filter(|other| now - other.told < self.config.peer_load_ttl);
        let loads = told.filter_map(|other| {
            let at = other.loads.binary_search_by(|load| load.server.cmp(server));
            at.ok().map(|at| &other.loads[at])
        });
        loads.fold((0, 0), |(tokens, running), load| {
            (tokens + load.tokens, running + load.running)
        })
    }

    /// Tells whether a server gets nothing for now.
    pub fn is_blocked(&self, now: Tick, id: &Name) -> bool {
        self.find(id)
            .is_ok_and(|at| now < self.servers[at].blocked_until)
    }

    /// Returns the calls of this instance that are under way at a server.
    pub fn running(&self, id: &Name) -> u32 {
        self.find(id).map_or(0, |at| self.servers[at].running)
    }

    /// Forgets servers that were not used for long and have nothing under way.
    pub fn remove_idle(&mut self, now: Tick, idle: Duration) {
        self.servers
            .retain(|seen| seen.running > 0 || now - seen.touched < idle);
    }

    pub(crate) fn get(&self, id: &Name) -> Option<&Seen> {
        self.find(id).ok().map(|at| &self.servers[at])
    }

    fn seen(&mut self, now: Tick, id: &Name) -> &mut Seen {
        let half_life = self.config.half_life;
        let at = match self.find(id) {
            Ok(at) => at,
            Err(at) => {
                self.servers.insert(at, Seen::new(id, now));
                at
            }
        };
        let seen = &mut self.servers[at];
        let fade = fade(now - seen.touched, half_life);
        seen.failures *= fade;
        seen.weight *= fade;
        seen.touched = now;
        seen
    }

    fn find(&self, id: &Name) -> Result<usize, usize> {
        self.servers.binary_search_by(|seen| seen.id.cmp(id))
    }
}

impl Seen {
    fn new(id: &Name, now: Tick) -> Self {
        Self {
            id: id.clone(),
            touched: now,
            running: 0,
            line: 0,
            failures: 0.0,
            usual_ms: 0.0,
            weight: 0.0,
            blocked_until: Tick::default(),
            strikes: 0,
        }
    }

    /// Returns the usual time of an answer, drawn towards `unknown_ms` as it ages.
    pub(crate) fn usual_ms(&self, now: Tick, config: &Config) -> f64 {
        let weight = self.weight * fade(now - self.touched, config.half_life);
        weight * self.usual_ms + (1.0 - weight) * config.default_latency_ms
    }

    /// Returns the recent failures, faded to the present.
    pub(crate) fn failures(&self, now: Tick, config: &Config) -> f64 {
        self.failures * fade(now - self.touched, config.half_life)
    }
}

fn fade(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.div_duration_f64(half_life))
}
