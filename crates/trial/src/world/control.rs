//! What instances hear apart from requests: lists, load reports and cache events.

use core::time::Duration;

use admit::Event as Admission;
use base::{Incarnation, Name};
use rand::RngExt;
use route::cache::Change;

use super::{DRAIN, Event, World};
use crate::agent::Member;

/// Interval of an instance's own work, in microseconds.
const STEP: u64 = 20_000;
/// Interval of the list, which lags by as much, in microseconds.
const LIST: u64 = 1_000_000;
/// Interval of load reports, in microseconds.
const REPORT: u64 = 250_000;
/// Lag of load reports and cache events, in microseconds.
const LAG: u64 = 250_000;
/// The share of cache events that get lost.
const LOST: f64 = 0.1;
/// Bytes of a load report or a cache event.
const MESSAGE_BYTES: u64 = 24;

impl World<'_> {
    pub(super) fn step(&mut self) {
        if self.policy.gate {
            for instance in 0..self.agents.len() {
                self.capacities(instance);
                self.gate_tick(instance);
            }
        }
        if self.now < self.trace.horizon + DRAIN {
            self.after(STEP, Event::Step);
        }
    }

    /// Tells the gate of an instance what each pool can take.
    pub(super) fn capacities(&mut self, instance: usize) {
        for pool in 0..self.size.pools.len() {
            self.capacity(instance, pool);
        }
    }

    pub(super) fn capacity(&mut self, instance: usize, pool: usize) {
        if !self.policy.gate || !self.agents[instance].up {
            return;
        }
        let live = self.agents.iter().filter(|agent| agent.up).count();
        let name = self.size.pools[pool].name;
        let capacity = self.agents[instance].table.capacity(self.tick(), name);
        let event = Admission::Capacity {
            pool: Name::from(name),
            slots: f64::from(capacity.slots) / live as f64,
            retry_after: capacity.retry_after,
        };
        self.gate_event(instance, event);
    }

    pub(super) fn refresh_list(&mut self) {
        self.list();
        self.listed = self.members();
        if self.now < self.trace.horizon + DRAIN {
            self.after(LIST, Event::List);
        }
    }

    pub(super) fn list(&mut self) {
        for agent in &mut self.agents {
            for (pool, members) in self.listed.iter().enumerate() {
                agent.list(self.size, pool, members);
            }
        }
    }

    /// Returns the servers of each pool that the platform's list names now.
    pub(super) fn members(&self) -> Vec<Vec<Member>> {
        let mut members = vec![Vec::new(); self.size.pools.len()];
        for (at, server) in self.servers.iter().enumerate() {
            if server.silent {
                continue;
            }
            let known = route::Server {
                incarnation: server.incarnation.clone(),
                domain: crate::agent::domain(server.domain),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
                concurrency: server.concurrency,
                leaving: false,
            };
            members[server.pool].push(Member { server: at, known });
        }
        members
    }

    pub(super) fn report(&mut self) {
        for at in 0..self.servers.len() {
            let server = &self.servers[at];
            if server.reachable() && self.size.pools[server.pool].reports_load {
                let event = Event::Load {
                    server: at,
                    incarnation: server.incarnation.clone(),
                    running: server.running.len() as u32,
                    waiting: server.queue.len() as u32,
                };
                self.after(LAG, event);
            }
        }
        if self.now < self.trace.horizon + DRAIN {
            self.after(REPORT, Event::Report);
        }
    }

    pub(super) fn load(&mut self, server: usize, known: &Incarnation, running: u32, waiting: u32) {
        if !self.servers[server].reachable() {
            return;
        }
        self.tell(&route::Event::Load {
            server: known.clone(),
            running,
            waiting,
            age: Duration::from_micros(LAG),
        });
    }

    pub(super) fn cache(&mut self, incarnation: &Incarnation, seq: u64, change: Change) {
        self.tell(&route::Event::Cache {
            server: incarnation.clone(),
            seq,
            change,
        });
    }

    /// Publishes a cache event, unless it gets lost.
    pub(super) fn publish(&mut self, server: usize, change: Change) {
        let seq = self.servers[server].seq;
        self.servers[server].seq += 1;
        if self.rng.random_bool(LOST) {
            return;
        }
        let incarnation = self.servers[server].incarnation.clone();
        let event = Event::Cache {
            incarnation,
            seq,
            change,
        };
        self.after(LAG, event);
    }

    fn tell(&mut self, event: &route::Event) {
        let now = self.tick();
        for agent in self.agents.iter_mut().filter(|agent| agent.up) {
            agent.table.handle(now, event.clone());
            self.messages += 1;
            self.bytes += MESSAGE_BYTES;
        }
    }
}
