//! Applies what servers state about themselves in the heads of their answers: departures and pauses.

use core::time::Duration;

use base::{Name, Tick};
use quota::Statement;
use rand::RngExt;
use site::roster::Server;

use crate::{Job, Notice, Rate, configs::Config, hub::State};

impl State {
    /// Applies a notice to the state.
    ///
    /// Pauses end at slightly different times on each instance, so that their first requests don't arrive together.
    pub(crate) fn apply_notice(&mut self, config: &Config, notice: Notice) {
        if notice.is_direct {
            self.links.record_answer(notice.received_at);
        }
        if notice.is_leaving {
            self.mark_leaving(
                notice.received_at,
                &notice.server,
                notice.started_at_ms,
                "answer",
            );
        }
        if notice.is_direct && notice.rate != Rate::Unclear {
            self.cold.record_contact(notice.received_at, &notice.server);
        }
        if let Some(left) = notice.cold_left {
            let times = (notice.sent_at, notice.received_at);
            self.record_cold_answer(times, &notice.server, notice.started_at_ms, left);
        }
        if let Some(percent) = notice.slowness {
            self.fleet.speeds.record_momentary(
                notice.received_at,
                &notice.server,
                notice.started_at_ms,
                percent,
            );
        }
        let known = self.limits.get(&notice.server);
        let rate = notice.rate.or(known.and_then(|known| known.rate));
        let brittle = notice.brittle.or(known.and_then(|known| known.brittle));
        if notice.rate != Rate::Unclear || notice.brittle != Rate::Unclear {
            self.record_rate(Statement {
                server: notice.server.clone(),
                started_at_ms: notice.started_at_ms,
                rate,
                brittle,
                sent_at: notice.sent_at,
                received_at: notice.received_at,
            });
        }
        if let Some(pause) = notice.pause {
            let pause = pause.min(config.max_pause);
            let spread = config.max_pause_spread.min(pause / 4);
            let until = notice.received_at + pause + spread.mul_f64(self.rng.random::<f64>());
            log::info!(
                target: "servers", server:% = notice.server, pause_ms = pause.as_millis();
                "server asked for a pause"
            );
            self.fleet.pause(notice.received_at, &notice.server, until);
        }
    }

    /// Records what a server states of the request rate that it takes, and logs a change.
    pub fn record_rate(&mut self, statement: Statement) {
        let (server, received_at) = (statement.server.clone(), statement.received_at);
        if !self.limits.record(statement) {
            return;
        }
        let known = self.limits.get(&server);
        let rate = known.and_then(|known| known.rate);
        let brittle = known.and_then(|known| known.brittle);
        log::info!(
            target: "servers", server:% = server, rate:? = rate, brittle:? = brittle;
            "server states other limits of its requests"
        );
        // What was known of its next turn belongs to the former rate.
        self.fleet.hold(received_at, &server, received_at);
    }

    /// Records that a run of a server announced its departure, and logs it if it is new.
    pub fn mark_leaving(&mut self, now: Tick, server: &Name, started_at_ms: u64, source: &str) {
        if self.roster.mark_leaving(server, started_at_ms) {
            log::info!(target: "servers", server:% = server, source = source; "server is leaving");
            self.departures.record(now, server, started_at_ms);
        }
    }

    /// Returns whether the list still shows a run of a server that may get new work.
    pub(crate) fn may_get_work(&self, now: Tick, server: &Server) -> bool {
        let mut usable = self.roster.usable(now, &server.pool);
        let is_listed = usable
            .any(|listed| listed.id == server.id && listed.started_at_ms == server.started_at_ms);
        is_listed && self.fleet.paused_until(now, &server.id).is_none()
    }

    /// Returns whether the failure domain of a server is evacuated.
    pub fn is_evacuated(&self, now: Tick, server: &Server) -> bool {
        self.roster.evacuations.contains(now, &server.domain)
    }

    /// Returns whether a request can't be served because all servers of a pool that it needs are evacuated or in regions that
    /// it must not reach.
    pub(crate) fn lacks_servers<R>(&self, now: Tick, pool: &Name, job: &Job<R>) -> bool {
        let stages = job.route.stages.iter().zip(&job.pieces);
        let stages = stages.filter(|(_, pieces)| **pieces > 0);
        let mut pools = stages.map(|(stage, _)| &stage.pool).chain([pool]);
        pools.any(|pool| {
            let mut servers = self.roster.usable(now, pool);
            let is_out_of_reach =
                job.reach.is_some() && !servers.any(|server| job.allows_server(&server.domain));
            is_out_of_reach || self.roster.is_evacuated(now, pool)
        })
    }

    /// Returns when the first of a pool's servers that may be used takes requests again, if all of them asked for a
    /// pause, or have no turn within `max_wait`.
    fn pause_end(
        &self,
        now: Tick,
        pool: &Name,
        max_wait: Duration,
        may_use: impl Fn(&Server) -> bool,
    ) -> Option<Tick> {
        let servers = self.roster.usable(now, pool);
        let mut servers = servers.filter(|server| may_use(server)).peekable();
        servers.peek()?;
        let ends = servers.map(|server| {
            let held = self.fleet.held_until(now, &server.id);
            let held = held.filter(|until| *until - now > max_wait);
            held.max(self.fleet.paused_until(now, &server.id))
        });
        ends.collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    /// Returns how long a request has to wait because all servers of a pool that it needs asked for a pause, or have no
    /// turn for it within `max_wait`.
    pub(crate) fn pause_left<R>(
        &self,
        now: Tick,
        pool: &Name,
        job: &Job<R>,
        max_wait: Duration,
    ) -> Option<Duration> {
        let stages = job.route.stages.iter().zip(&job.pieces);
        let stages = stages.filter(|(_, pieces)| **pieces > 0);
        let ends = stages.filter_map(|(stage, _)| {
            self.pause_end(now, &stage.pool, max_wait, |server| {
                job.allows_server(&server.domain)
            })
        });
        let own_end = self.pause_end(now, pool, max_wait, |server| job.may_use(server));
        ends.chain(own_end).max().map(|end| end - now)
    }
}
