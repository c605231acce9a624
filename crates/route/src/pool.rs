//! The servers of one pool and their mean service time.

use core::time::Duration;

use base::{Incarnation, Name, Tick, attempt::Attempt};

use crate::{
    configs::Config,
    event::Failure,
    health::{Allowance, Health},
    latency::Baseline,
    outage::Outage,
    server::Server,
    state::State,
    table::Capacity,
};

/// A pool of backend servers.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name.
    pub name: Name,
    /// Its servers, sorted by incarnation.
    pub servers: Vec<State>,
    baseline: Baseline,
    outage: Outage,
    /// When servers were last checked for slowness.
    last_check: Option<Tick>,
}

impl Pool {
    /// Creates a pool without servers.
    pub fn new(config: &Config, name: Name) -> Self {
        Self {
            name,
            servers: Vec::new(),
            baseline: Baseline::new(&config.latency),
            outage: Outage::default(),
            last_check: None,
        }
    }

    /// Sets the current servers; a removed server is kept until its attempts end.
    pub fn set_servers(&mut self, servers: &[Server]) {
        for state in &mut self.servers {
            state.is_present = false;
        }
        for server in servers {
            match self.find(&server.incarnation) {
                Ok(at) => {
                    let state = &mut self.servers[at];
                    let leaving = state.server.leaving || server.leaving;
                    state.server = server.clone();
                    state.server.leaving = leaving;
                    state.is_present = true;
                }
                Err(at) => self.servers.insert(at, State::new(server.clone())),
            }
        }
        self.remove_drained();
    }

    /// Removes servers that are no longer members and have no attempt in flight.
    pub fn remove_drained(&mut self) {
        self.servers
            .retain(|state| state.is_present || state.in_flight() > 0);
    }

    /// Returns the mean service time, in seconds.
    pub const fn mean_service_time(&self) -> f64 {
        self.baseline.mean()
    }

    /// Records a complete answer of the server at an index.
    pub fn record_success(
        &mut self,
        config: &Config,
        now: Tick,
        at: usize,
        attempt: Attempt,
        elapsed: Duration,
    ) {
        let pool_mean = self.mean_service_time();
        if let Some(seconds) =
            self.servers[at].record_success(config, now, attempt, elapsed, pool_mean)
        {
            self.baseline.record(&config.latency, seconds);
            if self.outage.record_success() {
                for state in &mut self.servers {
                    state.health.recover();
                }
            }
        }
    }

    /// Records the start of an attempt at the server at an index.
    pub fn record_start(
        &mut self,
        config: &Config,
        now: Tick,
        at: usize,
        attempt: Attempt,
        prefix: Option<u64>,
    ) {
        self.outage.record_start(&config.outage, now);
        self.servers[at].record_start(config, now, attempt, prefix);
    }

    /// Records an attempt at the server at an index that ended without an answer.
    pub fn record_failure(
        &mut self,
        config: &Config,
        now: Tick,
        at: usize,
        attempt: Attempt,
        kind: Failure,
    ) {
        self.servers[at].record_failure(config, now, attempt, kind);
        if kind == Failure::Cancelled {
            return;
        }
        let present = self.servers.iter().filter(|state| state.is_present);
        let failing = present.clone().filter(|state| state.health.is_failing());
        let share = failing.count() as f64 / (present.count().max(1) as f64);
        self.outage.record_failure(&config.outage, now, share);
    }

    /// Returns when the pool may get its next attempt, if it is down.
    pub fn down_until(&self, now: Tick) -> Option<Tick> {
        self.outage.blocked_until(now)
    }

    /// Ejects slow servers, if the check interval has passed.
    pub fn eject_slow(&mut self, config: &Config, now: Tick) {
        if self
            .last_check
            .is_some_and(|at| now - at < config.latency.refresh_interval)
        {
            return;
        }
        self.last_check = Some(now);
        let mut slowdowns: Vec<f64> = self
            .servers
            .iter()
            .filter(|state| state.is_present)
            .filter_map(|state| state.slowdown.warm_mean(&config.latency))
            .collect();
        if slowdowns.is_empty() {
            return;
        }
        let middle = (slowdowns.len() - 1) / 2;
        let median = *slowdowns.select_nth_unstable_by(middle, f64::total_cmp).1;
        self.eject(config, now, median * config.health.slow_ratio);
    }

    /// Returns the current capacity of the pool.
    pub fn capacity(&self, config: &Config, now: Tick) -> Capacity {
        let live = || {
            self.servers
                .iter()
                .filter(|state| state.is_present && !state.server.leaving)
        };
        if let Some(until) = self.outage.blocked_until(now) {
            return Capacity {
                slots: 0,
                retry_after: until - now,
            };
        }
        let slots: u32 = live().map(|state| state.slots(config, now)).sum();
        let slots = if self.outage.is_down() {
            slots.min(1)
        } else {
            slots
        };
        let earliest = live()
            .filter_map(|state| match state.health.allowance(now) {
                Allowance::Blocked(until) => Some(until - now),
                Allowance::Unlimited | Allowance::Limited(_) => None,
            })
            .min();
        let retry_after = earliest.unwrap_or(config.health.backoff_max);
        Capacity { slots, retry_after }
    }

    /// Finds a server.
    pub fn find(&self, incarnation: &Incarnation) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|state| state.server.incarnation.cmp(incarnation))
    }

    /// Ejects healthy servers above a slowdown, up to the maximum share of the pool.
    fn eject(&mut self, config: &Config, now: Tick, max_slowdown: f64) {
        let present = self.servers.iter().filter(|state| state.is_present).count();
        let max_ejected = (present as f64 * config.health.ejected_share) as usize;
        let mut ejected = self
            .servers
            .iter()
            .filter(|state| state.is_present && state.health.is_ejected())
            .count();
        for state in self.servers.iter_mut().filter(|state| state.is_present) {
            if ejected >= max_ejected {
                return;
            }
            let slow = state
                .slowdown
                .warm_mean(&config.latency)
                .is_some_and(|slowdown| slowdown > max_slowdown);
            if slow && state.health == Health::Good {
                state.ejections += 1;
                state.health.eject(&config.health, now, state.ejections);
                state.slowdown.reset();
                ejected += 1;
            }
        }
    }
}
