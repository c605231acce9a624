//! Backend servers: they add attempts to their batch and complete them.

use route::{Failure, cache::Change};

use super::{Event, Simulation};
use crate::trace::Request;

/// How long a harmful request runs before its server crashes.
const CRASH_DELAY_MICROS: u64 = 50_000;

impl Simulation<'_> {
    pub(super) fn receive(&mut self, flight: usize) {
        if !self.flights[flight].open {
            return;
        }
        let server = self.flights[flight].server;
        let same = self.servers[server].incarnation == self.flights[flight].incarnation;
        if !self.servers[server].is_reachable() || !same {
            let kind = Failure::ConnectFailed;
            return self.schedule_after(super::LOCAL_HOP_MICROS, Event::Fail { flight, kind });
        }
        self.servers[server].queue.push_back(flight);
        self.fill(server);
    }

    /// Moves queued attempts into the batch while it has a free slot.
    pub(super) fn fill(&mut self, server: usize) {
        while let Some(flight) = self.servers[server].admit() {
            self.start_attempt(server, flight);
        }
    }

    fn start_attempt(&mut self, server: usize, flight: usize) {
        self.flights[flight].started_at = Some(self.tick());
        let settings = &self.size.pools[self.servers[server].pool];
        let request = self.request(flight);
        let work = request.work[usize::from(self.flights[flight].attempt.stage)];
        let (prefix, poison) = (request.prefix, request.poison);
        let hit = settings.prefix_tokens > 0 && self.use_prefix(server, prefix);
        self.flights[flight].hit = hit;
        self.main_attempts += u64::from(self.servers[server].pool == self.size.main);
        self.hits += u64::from(hit);
        let generation = self.servers[server].generation;
        if poison && self.servers[server].pool == self.size.main {
            return self.schedule_after(CRASH_DELAY_MICROS, Event::Crash { server, generation });
        }
        let seconds = self.servers[server].service(settings, work, hit);
        let done = Event::Done {
            server,
            generation,
            flight,
        };
        self.schedule_after((seconds * 1e6) as u64, done);
    }

    fn use_prefix(&mut self, server: usize, prefix: u64) -> bool {
        let (hit, evicted) = self.servers[server].use_prefix(prefix);
        if !hit {
            self.publish(server, Change::Added(prefix));
        }
        if let Some(evicted) = evicted {
            self.publish(server, Change::Removed(evicted));
        }
        hit
    }

    pub(super) fn done(&mut self, server: usize, generation: u32, flight: usize) {
        if self.servers[server].generation != generation
            || !self.servers[server].drop_flight(flight)
        {
            return;
        }
        self.record_work(flight);
        self.fill(server);
        let instance = self.calls[self.flights[flight].call].instance;
        let hop = self.hop_latency(instance, server);
        self.schedule_after(hop, Event::Answer { flight });
    }

    /// Adds the work of an attempt to its pool, request and call.
    pub(super) fn record_work(&mut self, flight: usize) {
        let Some(started_at) = self.flights[flight].started_at.take() else {
            return;
        };
        let seconds = (self.tick() - started_at).as_secs_f64();
        let call = self.flights[flight].call;
        self.work[self.servers[self.flights[flight].server].pool] += seconds;
        self.jobs[self.calls[call].job].work += seconds;
        // Counts as waste until the answer arrives in time; `advance` subtracts it then.
        self.jobs[self.calls[call].job].waste += seconds;
        self.calls[call].cost += seconds;
    }

    /// Cancels the attempt that a call has in flight.
    pub(super) fn drop_flight(&mut self, call: usize) {
        let Some(flight) = self.calls[call].flight.take() else {
            return;
        };
        self.flights[flight].open = false;
        let server = self.flights[flight].server;
        if self.servers[server].drop_flight(flight) {
            self.record_work(flight);
            self.fill(server);
        }
    }

    pub(super) fn request(&self, flight: usize) -> &Request {
        &self.trace.requests[self.calls[self.flights[flight].call].job]
    }
}
