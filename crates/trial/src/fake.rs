//! A small fake of a backend server: a queue, a batch, a service-time law and a prefix cache.

use std::collections::VecDeque;

use base::{Incarnation, Stamp};

use crate::size::Pool;

/// How much a full batch slows each of its requests: 0.5 makes them 1.5 times as long.
pub(crate) const BATCH_SLOWDOWN: f64 = 0.5;
/// Prefill time of one token, in seconds.
pub(crate) const PREFILL_SECONDS_PER_TOKEN: f64 = 100e-6;
/// The number of prefixes in a server's cache.
const CACHE_CAPACITY: usize = 48;

/// A backend server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) pool: usize,
    pub(crate) domain: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) concurrency: u32,
    /// Whether it accepts connections.
    pub(crate) up: bool,
    /// Whether it is unreachable, so that connections time out instead of being refused.
    pub(crate) silent: bool,
    /// The factor on its service times.
    pub(crate) slowdown: f64,
    /// The number of stops, so that events from before a restart are ignored.
    pub(crate) generation: u32,
    /// The sequence number of the next cache event.
    pub(crate) seq: u64,
    pub(crate) running: Vec<usize>,
    pub(crate) queue: VecDeque<usize>,
    cache: VecDeque<u64>,
}

impl Server {
    pub(crate) fn new(pool: usize, settings: &Pool, number: usize, domain: usize) -> Self {
        Self {
            pool,
            domain,
            incarnation: Incarnation::new(
                format!("{}-{number:03}", settings.name),
                Stamp::from_millis(1),
            ),
            concurrency: settings.concurrency,
            up: true,
            silent: false,
            slowdown: 1.0,
            generation: 0,
            seq: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            cache: VecDeque::new(),
        }
    }

    /// Returns whether an attempt sent now reaches it.
    pub(crate) const fn is_reachable(&self) -> bool {
        self.up && !self.silent
    }

    /// Stops the server; returns its attempts, the running ones first.
    pub(crate) fn stop(&mut self) -> (Vec<usize>, Vec<usize>) {
        self.generation += 1;
        self.cache.clear();
        let running = core::mem::take(&mut self.running);
        (running, self.queue.drain(..).collect())
    }

    /// Restarts the server as a new incarnation.
    pub(crate) fn restart(&mut self, now: u64) {
        self.up = true;
        self.silent = false;
        self.seq = 0;
        self.incarnation.start = Stamp::from_millis(1 + now / 1_000);
    }

    /// Moves the next attempt into the batch, if it has a free slot.
    pub(crate) fn admit(&mut self) -> Option<usize> {
        if !self.up || self.running.len() >= self.concurrency as usize {
            return None;
        }
        let dispatch = self.queue.pop_front()?;
        self.running.push(dispatch);
        Some(dispatch)
    }

    /// Removes an attempt; returns whether the server had it.
    pub(crate) fn cancel_dispatch(&mut self, dispatch: usize) -> bool {
        if let Some(at) = self.running.iter().position(|one| *one == dispatch) {
            self.running.remove(at);
            return true;
        }
        let at = self.queue.iter().position(|one| *one == dispatch);
        at.is_some_and(|at| self.queue.remove(at).is_some())
    }

    /// Returns the service time in seconds; `work` is relative to the mean.
    pub(crate) fn service(&self, settings: &Pool, work: f64, hit: bool) -> f64 {
        let prefill = f64::from(settings.prefix_tokens) * PREFILL_SECONDS_PER_TOKEN;
        let rest = (settings.service - prefill) * work;
        let batch = self.running.len() as f64 / f64::from(self.concurrency);
        let prefill = if hit { 0.0 } else { prefill };
        (rest + prefill) * self.slowdown * (1.0 + BATCH_SLOWDOWN * batch)
    }

    /// Uses a prefix; returns whether it was cached and which prefix was evicted for it.
    pub(crate) fn use_prefix(&mut self, prefix: u64) -> (bool, Option<u64>) {
        if let Some(at) = self.cache.iter().position(|held| *held == prefix) {
            self.cache.remove(at);
            self.cache.push_back(prefix);
            return (true, None);
        }
        self.cache.push_back(prefix);
        let evicted = (self.cache.len() > CACHE_CAPACITY)
            .then(|| self.cache.pop_front())
            .flatten();
        (false, evicted)
    }
}
