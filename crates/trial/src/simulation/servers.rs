//! Backend servers: they add attempts to their batch and complete them.

use route::{Failure, cache::Change};

use super::{Event, Simulation};
use crate::trace::Request;

/// How long a harmful request runs before its server crashes.
const CRASH_DELAY_MICROS: u64 = 50_000;

impl Simulation<'_> {
    pub(super) fn receive(&mut self, dispatch: usize) {
        if !self.dispatches[dispatch].open {
            return;
        }
        let server = self.dispatches[dispatch].server;
        let same = self.servers[server].incarnation == self.dispatches[dispatch].incarnation;
        if !self.servers[server].is_reachable() || !same {
            let kind = Failure::ConnectFailed;
            return self.schedule_after(super::LOCAL_HOP_MICROS, Event::Fail { dispatch, kind });
        }
        self.servers[server].queue.push_back(dispatch);
        self.fill(server);
    }

    /// Moves queued attempts into the batch while it has a free slot.
    pub(super) fn fill(&mut self, server: usize) {
        while let Some(dispatch) = self.servers[server].admit() {
            self.start_attempt(server, dispatch);
        }
    }

    fn start_attempt(&mut self, server: usize, dispatch: usize) {
        self.dispatches[dispatch].started_at = Some(self.tick());
        let settings = &self.size.pools[self.servers[server].pool];
        let request = self.request(dispatch);
        let work = request.work[usize::from(self.dispatches[dispatch].attempt.stage)];
        let (prefix, poison) = (request.prefix, request.poison);
        let hit = settings.prefix_tokens > 0 && self.use_prefix(server, prefix);
        self.dispatches[dispatch].hit = hit;
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
            dispatch,
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

    pub(super) fn done(&mut self, server: usize, generation: u32, dispatch: usize) {
        if self.servers[server].generation != generation
            || !self.servers[server].cancel_dispatch(dispatch)
        {
            return;
        }
        self.record_work(dispatch);
        self.fill(server);
        let instance = self.calls[self.dispatches[dispatch].call].instance;
        let hop = self.hop_latency(instance, server);
        self.schedule_after(hop, Event::Answer { dispatch });
    }

    /// Adds the work of an attempt to its pool, request and call.
    pub(super) fn record_work(&mut self, dispatch: usize) {
        let Some(started_at) = self.dispatches[dispatch].started_at.take() else {
            return;
        };
        let seconds = (self.tick() - started_at).as_secs_f64();
        let call = self.dispatches[dispatch].call;
        self.work[self.servers[self.dispatches[dispatch].server].pool] += seconds;
        self.jobs[self.calls[call].job].work += seconds;
        // Counts as waste until the answer arrives in time; `advance` subtracts it then.
        self.jobs[self.calls[call].job].waste += seconds;
        self.calls[call].cost += seconds;
    }

    /// Cancels the attempt that a call has in flight.
    pub(super) fn cancel_dispatch(&mut self, call: usize) {
        let Some(dispatch) = self.calls[call].dispatch.take() else {
            return;
        };
        self.dispatches[dispatch].open = false;
        let server = self.dispatches[dispatch].server;
        if self.servers[server].cancel_dispatch(dispatch) {
            self.record_work(dispatch);
            self.fill(server);
        }
    }

    pub(super) fn request(&self, dispatch: usize) -> &Request {
        &self.trace.requests[self.calls[self.dispatches[dispatch].call].job]
    }
}
