//! What is known of one server: own attempts, last report, service time, health, cache.

use core::time::Duration;

use base::{Tick, attempt::Attempt};

use crate::{
    cache::Index,
    configs::{self, Config},
    event::Failure,
    health::{Health, Use},
    pace::Pace,
    server::Server,
};

/// Attempts in flight that the assumption of usual speed counts for.
const LAG_PRIOR: f64 = 2.0;

/// An own attempt in flight.
#[derive(Clone, Debug)]
struct Flight {
    attempt: Attempt,
    /// When it was sent.
    at: Tick,
    /// Requests for each place in the batch when the attempt was sent.
    depth: f64,
    prefix: Option<u64>,
    missed: bool,
}

/// A load report as far as it is not about own attempts.
#[derive(Clone, Copy, Debug)]
struct Report {
    others: f64,
    at: Tick,
    age: Duration,
}

/// One server and what is known of it.
#[derive(Clone, Debug)]
pub struct State {
    /// What membership says.
    pub server: Server,
    /// Whether membership still names it.
    pub present: bool,
    /// Its health.
    pub health: Health,
    /// Its service time.
    pub pace: Pace,
    /// Its cache.
    pub index: Index,
    /// How often it was ejected for slowness.
    pub ejections: u32,
    /// A number made of the name, to place prefixes by.
    salt: u64,
    finished: usize,
    slow: u32,
    flights: Vec<Flight>,
    report: Option<Report>,
}

impl State {
    /// Starts out with nothing known.
    pub fn new(server: Server) -> Self {
        let salt = base::Digest::of(server.incarnation.name.as_str().as_bytes()).prefix();
        Self {
            server,
            salt,
            present: true,
            health: Health::default(),
            pace: Pace::default(),
            index: Index::default(),
            ejections: 0,
            finished: 0,
            slow: 0,
            flights: Vec::new(),
            report: None,
        }
    }

    /// Returns a number made of the server's name, to place prefixes by.
    pub const fn salt(&self) -> u64 {
        self.salt
    }

    /// Returns the number of own attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Tells whether the server should get one more attempt.
    pub fn usable(&self, config: &Config, now: Tick) -> bool {
        self.allowed(now) && !self.is_overtried(config, now)
    }

    /// Tells whether the server may get one more attempt, though it may be too new for more.
    pub fn allowed(&self, now: Tick) -> bool {
        if !self.present || self.server.leaving {
            return false;
        }
        match self.health.allows(now) {
            Use::Free => true,
            Use::Limited(limit) => self.in_flight() < limit,
            Use::None(_) => false,
        }
    }

    /// Tells whether a new server has as many attempts as it should be tried with.
    fn is_overtried(&self, config: &Config, now: Tick) -> bool {
        let free = matches!(self.health.allows(now), Use::Free);
        free && self.in_flight() >= self.cold_limit(&config.state)
    }

    /// Returns the places that the server adds to its pool.
    ///
    /// A server that is new to this instance has only as many as it may be tried with, so that what
    /// is let in does not find it closed.
    pub fn places(&self, config: &Config, now: Tick) -> u32 {
        let free_of = |limit: usize| u32::try_from(limit).unwrap_or(u32::MAX);
        let cold = free_of(self.cold_limit(&config.state));
        match (&self.health, self.health.allows(now)) {
            (_, Use::None(_)) => 0,
            (_, Use::Free) => self.server.concurrency.min(cold),
            (Health::Returning { .. }, Use::Limited(limit)) => {
                self.server.concurrency.min(free_of(limit)).min(cold)
            }
            (_, Use::Limited(limit)) => free_of(limit.saturating_sub(self.in_flight())),
        }
    }

    /// Returns the requests that the server is believed to have, own ones included.
    pub fn outstanding(&self, config: &configs::state::Config, now: Tick) -> f64 {
        let own = self.in_flight() as f64;
        self.report.map_or(own, |report| {
            let age = report.age + (now - report.at);
            let halves = age.as_secs_f64() / config.half_life.as_secs_f64();
            own + report.others * (-halves).exp2()
        })
    }

    /// Returns the expected service time, in seconds, by answers and by how long attempts in flight
    /// have been under way.
    fn service(&self, config: &Config, now: Tick, typical: f64) -> f64 {
        let measured = self.pace.expected(&config.pace, now);
        typical * measured.max(self.lag(now, typical))
    }

    /// Returns how much slower than typical the server must be, as its attempts in flight tell.
    ///
    /// At a server of usual speed they are half done on average; few of them tell little.
    fn lag(&self, now: Tick, typical: f64) -> f64 {
        let age = |flight: &Flight| (now - flight.at).as_secs_f64() / flight.depth.max(1.0);
        let total: f64 = self.flights.iter().map(age).sum();
        2.0 * total / (typical * (self.flights.len() as f64 + LAG_PRIOR))
    }

    /// Returns the expected time in the server's queue, in seconds.
    pub fn wait(&self, config: &Config, now: Tick, typical: f64) -> f64 {
        let places = f64::from(self.server.concurrency.max(1));
        let ahead = self.outstanding(&config.state, now) + 1.0 - places;
        let service = self.service(config, now, typical);
        (ahead.max(0.0) / places) * service
    }

    /// Returns the expected time until an attempt sent now ends, in seconds.
    pub fn expected(&self, config: &Config, now: Tick, typical: f64) -> f64 {
        let places = f64::from(self.server.concurrency.max(1));
        let full = (self.outstanding(&config.state, now) / places).min(1.0);
        let service = self.service(config, now, typical);
        let slowdown = 1.0 + config.state.batch_slowdown * full;
        self.wait(config, now, typical) + service * slowdown
    }

    /// Books an attempt.
    pub fn started(&mut self, config: &Config, now: Tick, attempt: Attempt, prefix: Option<u64>) {
        let places = f64::from(self.server.concurrency.max(1));
        let depth = (self.outstanding(&config.state, now) + 1.0) / places;
        if let Err(at) = self.find(attempt) {
            let flight = Flight {
                attempt,
                at: now,
                depth,
                prefix,
                missed: false,
            };
            self.flights.insert(at, flight);
        }
    }

    /// Takes a whole answer; returns the service time, in seconds, less the wait in the queue.
    pub fn finished(
        &mut self,
        config: &Config,
        now: Tick,
        attempt: Attempt,
        took: Duration,
        typical: f64,
    ) -> Option<f64> {
        let flight = self.take(attempt)?;
        self.finished = self.finished.saturating_add(1);
        self.slow = 0;
        self.health.finished();
        let service = took.as_secs_f64() / flight.depth.max(1.0);
        self.pace.sample(&config.pace, now, service / typical);
        if let Some(prefix) = flight.prefix.filter(|_| !flight.missed) {
            self.index.hit(&config.cache, prefix);
        }
        Some(service)
    }

    /// Takes the end of an attempt without an answer.
    pub fn failed(&mut self, config: &Config, now: Tick, attempt: Attempt, kind: Failure) {
        if self.take(attempt).is_none() {
            return;
        }
        if kind == Failure::Slow {
            self.slow += 1;
            if self.slow < config.health.slow_attempts {
                return;
            }
        }
        self.health.failed(&config.health, now, kind);
    }

    /// Takes a load report; own attempts are subtracted, since they are counted better here.
    pub fn load(&mut self, now: Tick, total: u32, age: Duration) {
        let others = (f64::from(total) - self.in_flight() as f64).max(0.0);
        self.report = Some(Report {
            others,
            at: now,
            age,
        });
    }

    /// Takes word that a prefix was not in the cache.
    pub fn missed(&mut self, config: &Config, prefix: u64) {
        self.index.miss(&config.cache, prefix);
        for flight in &mut self.flights {
            flight.missed |= flight.prefix == Some(prefix);
        }
    }

    fn cold_limit(&self, config: &configs::state::Config) -> usize {
        config.cold_flights + 2 * self.finished
    }

    fn take(&mut self, attempt: Attempt) -> Option<Flight> {
        self.find(attempt).ok().map(|at| self.flights.remove(at))
    }

    fn find(&self, attempt: Attempt) -> Result<usize, usize> {
        self.flights
            .binary_search_by_key(&attempt, |flight| flight.attempt)
    }
}
