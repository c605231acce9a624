//! State of one server: own attempts, last load report, service time, health and cache.

use core::time::Duration;

use base::{Tick, attempt::Attempt};

use crate::{
    cache::Index,
    configs::{self, Config},
    event::Failure,
    health::{Allowance, Health},
    latency::Slowdown,
    server::Server,
};

/// Weight of the assumption that the server has an average service time, in attempts in flight.
const PRIOR_ATTEMPTS: f64 = 2.0;

/// An attempt of this instance in flight.
#[derive(Clone, Debug)]
struct Pending {
    attempt: Attempt,
    /// When it was sent.
    sent_at: Tick,
    /// Requests per batch slot when the attempt was sent.
    queue_depth: f64,
    prefix: Option<u64>,
    /// Whether the prefix was not in the server's cache.
    is_miss: bool,
}

/// A load report, without the attempts of this instance.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Number of requests at the server that this instance did not send.
    others: f64,
    received_at: Tick,
    age: Duration,
}

/// The state of one server.
#[derive(Clone, Debug)]
pub struct State {
    /// Its static properties.
    pub server: Server,
    /// Whether it is still a member.
    pub is_present: bool,
    /// Its health.
    pub health: Health,
    /// Its service time relative to the pool.
    pub slowdown: Slowdown,
    /// Its prefix cache.
    pub index: Index,
    /// Number of its ejections.
    pub ejections: u32,
    /// A hash of its name, for rendezvous hashing of prefixes.
    salt: u64,
    finished_attempts: usize,
    /// Number of attempts without progress in time since the last answer.
    slow_streak: u32,
    /// Attempts in flight, sorted by attempt.
    pending: Vec<Pending>,
    report: Option<Report>,
}

impl State {
    /// Creates the state of a server that has had no attempts.
    pub fn new(server: Server) -> Self {
        let salt = base::Digest::of(server.incarnation.name.as_str().as_bytes()).prefix();
        Self {
            server,
            salt,
            is_present: true,
            health: Health::default(),
            slowdown: Slowdown::default(),
            index: Index::default(),
            ejections: 0,
            finished_attempts: 0,
            slow_streak: 0,
            pending: Vec::new(),
            report: None,
        }
    }

    /// Returns a hash of the server's name, for rendezvous hashing of prefixes.
    pub const fn salt(&self) -> u64 {
        self.salt
    }

    /// Returns the number of this instance's attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the server should get another attempt.
    pub fn is_usable(&self, config: &Config, now: Tick) -> bool {
        self.is_allowed(now) && !self.is_at_cold_limit(config, now)
    }

    /// Returns whether the server may get another attempt, regardless of the limit for new servers.
    pub fn is_allowed(&self, now: Tick) -> bool {
        if !self.is_present || self.server.leaving {
            return false;
        }
        match self.health.allowance(now) {
            Allowance::Unlimited => true,
            Allowance::Limited(limit) => self.in_flight() < limit,
            Allowance::Blocked(_) => false,
        }
    }

    /// Returns whether a new server has reached its limit of attempts in flight.
    fn is_at_cold_limit(&self, config: &Config, now: Tick) -> bool {
        let is_unlimited = matches!(self.health.allowance(now), Allowance::Unlimited);
        is_unlimited && self.in_flight() >= self.cold_limit(&config.state)
    }

    /// Returns the batch slots that the server adds to its pool.
    ///
    /// A server that is new to this instance only counts with its limit of attempts in flight, so that
    /// admission doesn't admit more requests than may be sent.
    pub fn slots(&self, config: &Config, now: Tick) -> u32 {
        let to_slots = |limit: usize| u32::try_from(limit).unwrap_or(u32::MAX);
        let cold = to_slots(self.cold_limit(&config.state));
        match (&self.health, self.health.allowance(now)) {
            (_, Allowance::Blocked(_)) => 0,
            (_, Allowance::Unlimited) => self.server.concurrency.min(cold),
            (Health::Recovering { .. }, Allowance::Limited(limit)) => {
                self.server.concurrency.min(to_slots(limit)).min(cold)
            }
            (_, Allowance::Limited(limit)) => to_slots(limit.saturating_sub(self.in_flight())),
        }
    }

    /// Returns the estimated number of requests at the server, including this instance's.
    pub fn outstanding(&self, config: &configs::state::Config, now: Tick) -> f64 {
        let own = self.in_flight() as f64;
        self.report.map_or(own, |report| {
            let age = report.age + (now - report.received_at);
            let halves = age.as_secs_f64() / config.report_half_life.as_secs_f64();
            own + report.others * (-halves).exp2()
        })
    }

    /// Returns the expected service time, in seconds, from finished attempts and the age of attempts in
    /// flight.
    fn service_time(&self, config: &Config, now: Tick, pool_mean: f64) -> f64 {
        let measured = self.slowdown.expected(&config.latency, now);
        pool_mean * measured.max(self.min_slowdown(now, pool_mean))
    }

    /// Returns the slowdown relative to the pool that the age of the attempts in flight implies.
    ///
    /// At a server of average speed they are half done on average; a small number of them has a low weight.
    fn min_slowdown(&self, now: Tick, pool_mean: f64) -> f64 {
        let age = |pending: &Pending| {
            (now - pending.sent_at).as_secs_f64() / pending.queue_depth.max(1.0)
        };
        let total: f64 = self.pending.iter().map(age).sum();
        2.0 * total / (pool_mean * (self.pending.len() as f64 + PRIOR_ATTEMPTS))
    }

    /// Returns the expected waiting time in the server's queue, in seconds.
    pub fn expected_wait(&self, config: &Config, now: Tick, pool_mean: f64) -> f64 {
        let slots = f64::from(self.server.concurrency.max(1));
        let queued = self.outstanding(&config.state, now) + 1.0 - slots;
        let service_time = self.service_time(config, now, pool_mean);
        (queued.max(0.0) / slots) * service_time
    }

    /// Returns the expected latency of an attempt sent now, in seconds.
    pub fn expected_latency(&self, config: &Config, now: Tick, pool_mean: f64) -> f64 {
        let slots = f64::from(self.server.concurrency.max(1));
        let occupancy = (self.outstanding(&config.state, now) / slots).min(1.0);
        let service_time = self.service_time(config, now, pool_mean);
        let slowdown = 1.0 + config.state.batch_slowdown * occupancy;
        self.expected_wait(config, now, pool_mean) + service_time * slowdown
    }

    /// Records the start of an attempt.
    pub fn record_start(
        &mut self,
        config: &Config,
        now: Tick,
        attempt: Attempt,
        prefix: Option<u64>,
    ) {
        let slots = f64::from(self.server.concurrency.max(1));
        let queue_depth = (self.outstanding(&config.state, now) + 1.0) / slots;
        if let Err(at) = self.find(attempt) {
            let pending = Pending {
                attempt,
                sent_at: now,
                queue_depth,
                prefix,
                is_miss: false,
            };
            self.pending.insert(at, pending);
        }
    }

    /// Records a complete answer and returns its service time, in seconds, without the waiting time in the queue.
    pub fn record_success(
        &mut self,
        config: &Config,
        now: Tick,
        attempt: Attempt,
        elapsed: Duration,
        pool_mean: f64,
    ) -> Option<f64> {
        let pending = self.remove_pending(attempt)?;
        self.finished_attempts = self.finished_attempts.saturating_add(1);
        self.slow_streak = 0;
        self.health.record_success();
        let service_time = elapsed.as_secs_f64() / pending.queue_depth.max(1.0);
        self.slowdown
            .record(&config.latency, now, service_time / pool_mean);
        if let Some(prefix) = pending.prefix.filter(|_| !pending.is_miss) {
            self.index.record_hit(&config.cache, prefix);
        }
        Some(service_time)
    }

    /// Records an attempt that ended without an answer.
    pub fn record_failure(&mut self, config: &Config, now: Tick, attempt: Attempt, kind: Failure) {
        if self.remove_pending(attempt).is_none() {
            return;
        }
        if kind == Failure::Slow {
            self.slow_streak += 1;
            if self.slow_streak < config.health.slow_attempts {
                return;
            }
        }
        self.health.record_failure(&config.health, now, kind);
    }

    /// Records a load report without this instance's own attempts, whose current number is known.
    pub fn record_load(&mut self, now: Tick, total: u32, age: Duration) {
        let others = (f64::from(total) - self.in_flight() as f64).max(0.0);
        self.report = Some(Report {
            others,
            received_at: now,
            age,
        });
    }

    /// Records that a prefix was not in the cache.
    pub fn record_cache_miss(&mut self, config: &Config, prefix: u64) {
        self.index.record_miss(&config.cache, prefix);
        for pending in &mut self.pending {
            pending.is_miss |= pending.prefix == Some(prefix);
        }
    }

    /// Returns the limit of attempts in flight at a server that is new to this instance; each answer raises it
    /// by two.
    fn cold_limit(&self, config: &configs::state::Config) -> usize {
        config.cold_attempts + 2 * self.finished_attempts
    }

    fn remove_pending(&mut self, attempt: Attempt) -> Option<Pending> {
        self.find(attempt).ok().map(|at| self.pending.remove(at))
    }

    fn find(&self, attempt: Attempt) -> Result<usize, usize> {
        self.pending
            .binary_search_by_key(&attempt, |pending| pending.attempt)
    }
}
