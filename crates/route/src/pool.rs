//! The servers of one pool and what is typical of them.

use core::time::Duration;

use base::{Incarnation, Name, Tick, attempt::Attempt};

use crate::{
    configs::Config,
    event::Failure,
    health::{Health, Use},
    outage::Outage,
    pace::Level,
    server::Server,
    state::State,
    table::Capacity,
};

/// One pool.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name.
    pub name: Name,
    /// Its servers, sorted by incarnation.
    pub servers: Vec<State>,
    level: Level,
    outage: Outage,
    refreshed: Option<Tick>,
}

impl Pool {
    /// Starts out empty.
    pub fn new(config: &Config, name: Name) -> Self {
        Self {
            name,
            servers: Vec::new(),
            level: Level::new(&config.pace),
            outage: Outage::default(),
            refreshed: None,
        }
    }

    /// Takes the servers that membership names; those gone stay until their attempts end.
    pub fn set(&mut self, servers: &[Server]) {
        for state in &mut self.servers {
            state.present = false;
        }
        for server in servers {
            match self.find(&server.incarnation) {
                Ok(at) => {
                    let state = &mut self.servers[at];
                    let leaving = state.server.leaving || server.leaving;
                    state.server = server.clone();
                    state.server.leaving = leaving;
                    state.present = true;
                }
                Err(at) => self.servers.insert(at, State::new(server.clone())),
            }
        }
        self.sweep();
    }

    /// Drops servers that are gone and have no attempt in flight.
    pub fn sweep(&mut self) {
        self.servers
            .retain(|state| state.present || state.in_flight() > 0);
    }

    /// Returns the mean service time, in seconds.
    pub const fn typical(&self) -> f64 {
        self.level.mean()
    }

    /// Takes a whole answer of the server at an index.
    pub fn finished(
        &mut self,
        config: &Config,
        now: Tick,
        at: usize,
        attempt: Attempt,
        took: Duration,
    ) {
        let typical = self.typical();
        if let Some(seconds) = self.servers[at].finished(config, now, attempt, took, typical) {
            self.level.sample(&config.pace, seconds);
            if self.outage.finished() {
                for state in &mut self.servers {
                    state.health.recover();
                }
            }
        }
    }

    /// Books an attempt at the server at an index.
    pub fn started(
        &mut self,
        config: &Config,
        now: Tick,
        at: usize,
        attempt: Attempt,
        prefix: Option<u64>,
    ) {
        self.outage.started(&config.outage, now);
        self.servers[at].started(config, now, attempt, prefix);
    }

    /// Takes the end of an attempt without an answer of the server at an index.
    pub fn failed(
        &mut self,
        config: &Config,
        now: Tick,
        at: usize,
        attempt: Attempt,
        kind: Failure,
    ) {
        self.servers[at].failed(config, now, attempt, kind);
        if kind == Failure::Cancelled {
            return;
        }
        let present = self.servers.iter().filter(|state| state.present);
        let failing = present.clone().filter(|state| state.health.is_failing());
        let share = failing.count() as f64 / (present.count().max(1) as f64);
        self.outage.failed(&config.outage, now, share);
    }

    /// Returns when the pool may get its next attempt, if it is down.
    pub fn down_until(&self, now: Tick) -> Option<Tick> {
        self.outage.until(now)
    }

    /// Ejects slow servers, when a search for them is due.
    pub fn refresh(&mut self, config: &Config, now: Tick) {
        if self
            .refreshed
            .is_some_and(|at| now - at < config.pace.refresh)
        {
            return;
        }
        self.refreshed = Some(now);
        let mut paces: Vec<f64> = self
            .servers
            .iter()
            .filter(|state| state.present)
            .filter_map(|state| state.pace.warm(&config.pace))
            .collect();
        if paces.is_empty() {
            return;
        }
        let middle = (paces.len() - 1) / 2;
        let median = *paces.select_nth_unstable_by(middle, f64::total_cmp).1;
        self.eject(config, now, median * config.health.slow_ratio);
    }

    /// Returns what the pool can take now.
    pub fn capacity(&self, config: &Config, now: Tick) -> Capacity {
        let live = || {
            self.servers
                .iter()
                .filter(|state| state.present && !state.server.leaving)
        };
        if let Some(until) = self.outage.until(now) {
            return Capacity {
                places: 0,
                retry_after: until - now,
            };
        }
        let places: u32 = live().map(|state| state.places(config, now)).sum();
        let places = if self.outage.is_down() {
            places.min(1)
        } else {
            places
        };
        let soonest = live()
            .filter_map(|state| match state.health.allows(now) {
                Use::None(until) => Some(until - now),
                Use::Free | Use::Limited(_) => None,
            })
            .min();
        let retry_after = soonest.unwrap_or(config.health.backoff_max);
        Capacity {
            places,
            retry_after,
        }
    }

    /// Finds a server.
    pub fn find(&self, incarnation: &Incarnation) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|state| state.server.incarnation.cmp(incarnation))
    }

    fn eject(&mut self, config: &Config, now: Tick, bound: f64) {
        let present = self.servers.iter().filter(|state| state.present).count();
        let most = (present as f64 * config.health.ejected_share) as usize;
        let mut ejected = self
            .servers
            .iter()
            .filter(|state| state.present && state.health.is_ejected())
            .count();
        for state in self.servers.iter_mut().filter(|state| state.present) {
            if ejected >= most {
                return;
            }
            let slow = state
                .pace
                .warm(&config.pace)
                .is_some_and(|pace| pace > bound);
            if slow && state.health == Health::Good {
                state.ejections += 1;
                state.health.eject(&config.health, now, state.ejections);
                state.pace.reset();
                ejected += 1;
            }
        }
    }
}
