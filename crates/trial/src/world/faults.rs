//! Disturbances: a slow stage, a stage that is down, a lost domain, servers that crash.

use route::Failure;

use super::{Event, SILENCE, World};
use crate::{
    call::Phase,
    trace::{COLD, COLD_EVERY, Kind, LAME, LAME_EVERY, SLOW},
};

/// Time that a crashed server takes to start again, in microseconds.
const RESTART: u64 = 2_000_000;

impl World<'_> {
    pub(super) fn fault(&mut self, begins: bool) {
        match self.trace.kind {
            Kind::Slow => self.slow(if begins { SLOW } else { 1.0 }),
            Kind::Cold => self.replace(begins),
            Kind::Lame => self.lame(if begins { LAME } else { 1.0 }),
            Kind::Down => self.down(!begins),
            kind if kind.loses_domain() => self.lose_domain(begins),
            _ => {}
        }
    }

    fn slow(&mut self, factor: f64) {
        let main = self.size.main;
        for server in self.servers.iter_mut().filter(|one| one.pool == main) {
            server.slow = factor;
        }
    }

    fn replace(&mut self, begins: bool) {
        let main = self.size.main;
        let pool = (0..self.servers.len()).filter(|at| self.servers[*at].pool == main);
        for server in pool.step_by(COLD_EVERY).collect::<Vec<_>>() {
            self.servers[server].slow = if begins { COLD } else { 1.0 };
            if begins {
                self.stop(server, Failure::Crashed, 0);
                let life = self.servers[server].life;
                self.after(RESTART, Event::Restart { server, life });
            }
        }
    }

    fn lame(&mut self, factor: f64) {
        let main = self.size.main;
        let pool = self.servers.iter_mut().filter(|one| one.pool == main);
        for server in pool.step_by(LAME_EVERY) {
            server.slow = factor;
        }
    }

    fn down(&mut self, up: bool) {
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
                self.stop(at, Failure::Slow, SILENCE);
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
            if self.calls[call].instance == at && self.calls[call].phase != Phase::Over {
                self.calls[call].phase = Phase::Over;
                self.drop_flight(call);
                self.abandoned(self.calls[call].job);
            }
        }
    }

    pub(super) fn crash(&mut self, server: usize, life: u32) {
        if self.servers[server].life != life || !self.servers[server].up {
            return;
        }
        for flight in self.servers[server].running.clone() {
            let job = self.calls[self.flights[flight].call].job;
            self.jobs[job].crashes += 1;
        }
        self.stop(server, Failure::Crashed, 0);
        let life = self.servers[server].life;
        self.after(RESTART, Event::Restart { server, life });
    }

    pub(super) fn restart(&mut self, server: usize, life: u32) {
        if self.servers[server].life == life {
            let now = self.now;
            self.servers[server].restart(now);
        }
    }

    /// Ends a server's life; its peers learn it after a hop and a lag.
    fn stop(&mut self, server: usize, kind: Failure, lag: u64) {
        self.servers[server].up = false;
        let (running, queued) = self.servers[server].stop();
        for flight in running {
            self.charge(flight);
            self.fail_after(flight, kind, lag);
        }
        for flight in queued {
            self.fail_after(flight, kind, lag);
        }
    }

    fn fail_after(&mut self, flight: usize, kind: Failure, lag: u64) {
        let call = &self.calls[self.flights[flight].call];
        let hop = self.hop(call.instance, self.flights[flight].server);
        self.after(hop + lag, Event::Fail { flight, kind });
    }
}
