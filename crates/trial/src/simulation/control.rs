//! Control messages to the instances: server lists, load reports and cache events.

use core::time::Duration;

use admit::Event as Admission;
use base::{Incarnation, Name};
use rand::RngExt;
use route::cache::Change;

use super::{DRAIN_MICROS, Event, Simulation};
use crate::agent::Member;

/// Interval of the instances' periodic work.
const STEP_MICROS: u64 = 20_000;
/// Interval of list refreshes; a list is one interval old when it is applied.
const LIST_INTERVAL_MICROS: u64 = 1_000_000;
/// Interval of load reports.
const REPORT_INTERVAL_MICROS: u64 = 250_000;
/// Delivery delay of load reports and cache events.
const REPORT_DELAY_MICROS: u64 = 250_000;
/// The share of cache events that are lost.
const LOST_SHARE: f64 = 0.1;
/// Bytes of a load report or a cache event.
const MESSAGE_BYTES: u64 = 24;

impl Simulation<'_> {
    pub(super) fn step(&mut self) {
        if self.policy.admission {
            for instance in 0..self.agents.len() {
                self.capacities(instance);
                self.admission_tick(instance);
            }
        }
        if self.now < self.trace.horizon + DRAIN_MICROS {
            self.schedule_after(STEP_MICROS, Event::Tick);
        }
    }

    /// Reports the capacity of every pool to the admission controller of an instance.
    pub(super) fn capacities(&mut self, instance: usize) {
        for pool in 0..self.size.pools.len() {
            self.capacity(instance, pool);
        }
    }

    pub(super) fn capacity(&mut self, instance: usize, pool: usize) {
        if !self.policy.admission || !self.agents[instance].up {
            return;
        }
        let live_count = self.agents.iter().filter(|agent| agent.up).count();
        let name = self.size.pools[pool].name;
        let capacity = self.agents[instance].table.capacity(self.tick(), name);
        let event = Admission::Capacity {
            pool: Name::from(name),
            slots: f64::from(capacity.slots) / live_count as f64,
            retry_after: capacity.retry_after,
        };
        self.admission_event(instance, event);
    }

    pub(super) fn refresh_list(&mut self) {
        self.list();
        self.listed = self.members();
        if self.now < self.trace.horizon + DRAIN_MICROS {
            self.schedule_after(LIST_INTERVAL_MICROS, Event::RefreshList);
        }
    }

    pub(super) fn list(&mut self) {
        for agent in &mut self.agents {
            for (pool, members) in self.listed.iter().enumerate() {
                agent.list(self.size, pool, members);
            }
        }
    }

    /// Returns the servers of each pool that are in the platform's list now.
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
            if server.is_reachable() && self.size.pools[server.pool].reports_load {
                let event = Event::Load {
                    server: at,
                    incarnation: server.incarnation.clone(),
                    running: server.running.len() as u32,
                    waiting: server.queue.len() as u32,
                };
                self.schedule_after(REPORT_DELAY_MICROS, event);
            }
        }
        if self.now < self.trace.horizon + DRAIN_MICROS {
            self.schedule_after(REPORT_INTERVAL_MICROS, Event::Report);
        }
    }

    pub(super) fn load(&mut self, server: usize, known: &Incarnation, running: u32, waiting: u32) {
        if !self.servers[server].is_reachable() {
            return;
        }
        self.deliver(&route::Event::Load {
            server: known.clone(),
            running,
            waiting,
            age: Duration::from_micros(REPORT_DELAY_MICROS),
        });
    }

    pub(super) fn cache(&mut self, incarnation: &Incarnation, seq: u64, change: Change) {
        self.deliver(&route::Event::Cache {
            server: incarnation.clone(),
            seq,
            change,
        });
    }

    /// Publishes a cache event, unless it is lost.
    pub(super) fn publish(&mut self, server: usize, change: Change) {
        let seq = self.servers[server].seq;
        self.servers[server].seq += 1;
        if self.rng.random_bool(LOST_SHARE) {
            return;
        }
        let incarnation = self.servers[server].incarnation.clone();
        let event = Event::Cache {
            incarnation,
            seq,
            change,
        };
        self.schedule_after(REPORT_DELAY_MICROS, event);
    }

    fn deliver(&mut self, event: &route::Event) {
        let now = self.tick();
        for agent in self.agents.iter_mut().filter(|agent| agent.up) {
            agent.table.handle(now, event.clone());
            self.messages += 1;
            self.bytes += MESSAGE_BYTES;
        }
    }
}
