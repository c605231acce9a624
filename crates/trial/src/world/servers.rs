//! Backend servers: they take attempts into their batch and end them.

use route::{Failure, cache::Change};

use super::{Event, World};
use crate::trace::Request;

/// Time that a harmful request runs before its server dies, in microseconds.
const HARM: u64 = 50_000;

impl World<'_> {
    pub(super) fn receive(&mut self, flight: usize) {
        if !self.flights[flight].open {
            return;
        }
        let server = self.flights[flight].server;
        let same = self.servers[server].incarnation == self.flights[flight].incarnation;
        if !self.servers[server].reachable() || !same {
            let kind = Failure::ConnectFailed;
            return self.after(super::LOCAL_HOP, Event::Fail { flight, kind });
        }
        self.servers[server].queue.push_back(flight);
        self.fill(server);
    }

    /// Takes attempts into the batch while there is a place.
    pub(super) fn fill(&mut self, server: usize) {
        while let Some(flight) = self.servers[server].admit() {
            self.work_on(server, flight);
        }
    }

    fn work_on(&mut self, server: usize, flight: usize) {
        self.flights[flight].began = Some(self.tick());
        let settings = &self.size.pools[self.servers[server].pool];
        let request = self.request(flight);
        let work = request.work[usize::from(self.flights[flight].attempt.stage)];
        let (prefix, poison) = (request.prefix, request.poison);
        let hit = settings.prefix_tokens > 0 && self.touch(server, prefix);
        self.flights[flight].hit = hit;
        self.begun += u64::from(self.servers[server].pool == self.size.main);
        self.hits += u64::from(hit);
        let life = self.servers[server].life;
        if poison && self.servers[server].pool == self.size.main {
            return self.after(HARM, Event::Crash { server, life });
        }
        let seconds = self.servers[server].service(settings, work, hit);
        let done = Event::Done {
            server,
            life,
            flight,
        };
        self.after((seconds * 1e6) as u64, done);
    }

    fn touch(&mut self, server: usize, prefix: u64) -> bool {
        let (hit, evicted) = self.servers[server].touch(prefix);
        if !hit {
            self.publish(server, Change::Added(prefix));
        }
        if let Some(evicted) = evicted {
            self.publish(server, Change::Removed(evicted));
        }
        hit
    }

    pub(super) fn done(&mut self, server: usize, life: u32, flight: usize) {
        if self.servers[server].life != life || !self.servers[server].drop_flight(flight) {
            return;
        }
        self.charge(flight);
        self.fill(server);
        let instance = self.calls[self.flights[flight].call].instance;
        let hop = self.hop(instance, server);
        self.after(hop, Event::Answer { flight });
    }

    /// Books the work done for an attempt.
    pub(super) fn charge(&mut self, flight: usize) {
        let Some(began) = self.flights[flight].began.take() else {
            return;
        };
        let seconds = (self.tick() - began).as_secs_f64();
        let call = self.flights[flight].call;
        self.work[self.servers[self.flights[flight].server].pool] += seconds;
        self.jobs[self.calls[call].job].work += seconds;
        // Waste until an answer arrives in time; see `answer`.
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
            self.charge(flight);
            self.fill(server);
        }
    }

    pub(super) fn request(&self, flight: usize) -> &Request {
        &self.trace.requests[self.calls[self.flights[flight].call].job]
    }
}
