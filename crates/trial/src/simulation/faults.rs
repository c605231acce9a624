//! Faults: a slow stage, a stage that is down, a lost domain and servers that crash.

use route::Failure;

use super::{ATTEMPT_TIMEOUT_MICROS, Event, Simulation};
use crate::{
    call::Phase,
    trace::{
        COLD_EVERY, COLD_FACTOR, Kind, SLOW_SERVER_EVERY, SLOW_SERVER_FACTOR, SLOW_STAGE_FACTOR,
    },
};

/// Restart time of a crashed server.
const RESTART_MICROS: u64 = 2_000_000;

impl Simulation<'_> {
    pub(super) fn fault(&mut self, begins: bool) {
        match self.trace.kind {
            Kind::Slow => self.slow_stage(if begins { SLOW_STAGE_FACTOR } else { 1.0 }),
            Kind::Cold => self.replace_servers(begins),
            Kind::SlowServers => self.slow_servers(if begins { SLOW_SERVER_FACTOR } else { 1.0 }),
            Kind::Down => self.set_main_pool_up(!begins),
            kind if kind.loses_domain() => self.lose_domain(begins),
            _ => {}
        }
    }

    fn slow_stage(&mut self, factor: f64) {
        let main = self.size.main;
        for server in self.servers.iter_mut().filter(|one| one.pool == main) {
            server.slowdown = factor;
        }
    }

    fn replace_servers(&mut self, begins: bool) {
        let main = self.size.main;
        let pool = (0..self.servers.len()).filter(|at| self.servers[*at].pool == main);
        for server in pool.step_by(COLD_EVERY).collect::<Vec<_>>() {
            self.servers[server].slowdown = if begins { COLD_FACTOR } else { 1.0 };
            if begins {
                self.stop(server, Failure::Crashed, 0);
                let generation = self.servers[server].generation;
                self.schedule_after(RESTART_MICROS, Event::Restart { server, generation });
            }
        }
    }

    fn slow_servers(&mut self, factor: f64) {
        let main = self.size.main;
        let pool = self.servers.iter_mut().filter(|one| one.pool == main);
        for server in pool.step_by(SLOW_SERVER_EVERY) {
            server.slowdown = factor;
        }
    }

    fn set_main_pool_up(&mut self, up: bool) {
        for at in 0..self.servers.len() {
            if self.servers[at].pool != self.size.main {
                continue;
            }
            if up {
                self.servers[at].up = true;
            } else {
                self.stop(at, Failure::Crashed, 0);
            }
        }
    }

    fn lose_domain(&mut self, begins: bool) {
        let lost = self.size.domains - 1;
        for at in 0..self.servers.len() {
            if self.servers[at].domain != lost {
                continue;
            }
            if begins {
                self.servers[at].silent = true;
                self.stop(at, Failure::Slow, ATTEMPT_TIMEOUT_MICROS);
            } else {
                let now = self.now;
                self.servers[at].restart(now);
            }
        }
        for at in 0..self.agents.len() {
            if self.agents[at].domain_at == lost {
                self.lose_instance(at, begins);
            }
        }
    }

    fn lose_instance(&mut self, at: usize, begins: bool) {
        if !begins {
            self.agents[at] =
                crate::agent::Agent::new(self.size, self.agents[at].domain_at, self.servers.len());
            for (pool, members) in self.listed.iter().enumerate() {
                self.agents[at].list(self.size, pool, members);
            }
            return;
        }
        self.agents[at].up = false;
        for call in 0..self.calls.len() {
            if self.calls[call].instance == at && self.calls[call].phase != Phase::Ended {
                self.calls[call].phase = Phase::Ended;
                self.cancel_dispatch(call);
                self.handle_disconnect(self.calls[call].job);
            }
        }
    }

    pub(super) fn crash(&mut self, server: usize, generation: u32) {
        if self.servers[server].generation != generation || !self.servers[server].up {
            return;
        }
        for dispatch in self.servers[server].running.clone() {
            let job = self.calls[self.dispatches[dispatch].call].job;
            self.jobs[job].crashes += 1;
        }
        self.stop(server, Failure::Crashed, 0);
        let generation = self.servers[server].generation;
        self.schedule_after(RESTART_MICROS, Event::Restart { server, generation });
    }

    pub(super) fn restart(&mut self, server: usize, generation: u32) {
        if self.servers[server].generation == generation {
            let now = self.now;
            self.servers[server].restart(now);
        }
    }

    /// Stops a server; the instances learn of it after the network latency and `lag`.
    fn stop(&mut self, server: usize, kind: Failure, lag: u64) {
        self.servers[server].up = false;
        let (running, queued) = self.servers[server].stop();
        for dispatch in running {
            self.record_work(dispatch);
            self.schedule_failure(dispatch, kind, lag);
        }
        for dispatch in queued {
            self.schedule_failure(dispatch, kind, lag);
        }
    }

    fn schedule_failure(&mut self, dispatch: usize, kind: Failure, lag: u64) {
        let call = &self.calls[self.dispatches[dispatch].call];
        let hop = self.hop_latency(call.instance, self.dispatches[dispatch].server);
        self.schedule_after(hop + lag, Event::Fail { dispatch, kind });
    }
}
