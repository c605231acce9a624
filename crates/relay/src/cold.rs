//! Servers that are cold: what shows it, and turns at them.

use core::time::Duration;

use base::{Name, Stamp, Tick};
use mesh::Owner;
use quota::{
    Demand, Turn,
    cold::{Change, Entry, Report, Terms},
};
use site::roster::Server;
use tokio::time;

use crate::{
    Failure, Hub, Transport,
    hub::State,
    turns::{MAX_DELAY, NoTurn, UNKNOWN_HOLD},
};

/// The number of instances that may grant turns at one cold server.
const MAX_GRANTERS: usize = 3;

/// How long a call waits for its turn at a cold server though others could take it. Turns that come a moment later would be
/// lost to questions at random times.
const MIN_WAIT: Duration = Duration::from_millis(60);

/// When a turn may be left at a server that the granting instance doesn't know.
const UNLISTED_RETRY: Duration = Duration::from_millis(200);

/// The longest cold time that a server may state; a larger one is cut.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);

impl<E: Transport> Hub<E> {
    /// Takes turns at a server that is cold or ramps up, and waits for them if they come in time. Another server needs none.
    pub(crate) async fn take_cold_turn(
        &self,
        server: &Server,
        demand: Demand,
    ) -> Result<(), NoTurn> {
        let mut demand = Demand {
            max_wait: demand.max_wait.max(MIN_WAIT),
            ..demand
        };
        for _ in 0..MAX_GRANTERS {
            let asked_at = self.transport.now();
            let asked = self.with(|state| {
                if !state.needs_cold_turn(asked_at, server) {
                    return None;
                }
                let report = state
                    .cold
                    .report(asked_at, &server.id, server.started_at_ms)?;
                let members = &mut state.members;
                let granter = members.granter(asked_at, &server.id, &server.domain, MAX_GRANTERS);
                Some((report, granter))
            });
            let Some((report, granter)) = asked else {
                return Ok(());
            };
            let turn = match granter {
                Owner::Unavailable => break,
                Owner::Local => {
                    self.with(|state| state.grant_cold_turn(asked_at, &server.id, demand))
                }
                Owner::Peer(peer) => {
                    let asked = self.transport.ask_cold_turn(&peer, report, demand);
                    match asked.await {
                        Ok(turn) => turn,
                        Err(failure) => {
                            log::info!(
                                target: "peers", peer:% = peer.name, server:% = server.id, cause:% = failure;
                                "instance that grants turns at a cold server was lost"
                            );
                            self.with(|state| state.members.mark_lost(&peer.name));
                            continue;
                        }
                    }
                }
            };
            let answered_at = self.transport.now();
            match turn {
                Turn::Granted {
                    requests,
                    wait,
                    next_in,
                } => {
                    self.with(|state| {
                        let until = answered_at + next_in;
                        state.fleet.hold(answered_at, &server.id, until);
                    });
                    if wait > Duration::ZERO {
                        time::sleep(wait).await;
                    }
                    // The turn was granted at some time after the question.
                    if self.transport.now() - asked_at <= wait + MAX_DELAY {
                        demand.requests = demand.requests.saturating_sub(requests);
                        if demand.requests == 0 {
                            return Ok(());
                        }
                    }
                }
                Turn::Denied { retry_in } => {
                    self.hold_cold(answered_at, server, retry_in);
                    return Err(NoTurn);
                }
            }
        }
        let now = self.transport.now();
        self.hold_cold(now, server, UNKNOWN_HOLD);
        Err(NoTurn)
    }

    /// Leaves a cold server alone for a time.
    fn hold_cold(&self, now: Tick, server: &Server, retry_in: Duration) {
        self.with(|state| {
            state.fleet.hold(now, &server.id, now + retry_in);
            let may_log = state
                .cold
                .may_log_denial(now, &server.id, server.started_at_ms);
            if may_log {
                log::info!(
                    target: "servers", server:% = server.id, retry_ms = retry_in.as_millis();
                    "no turn at a cold server; others are used"
                );
            }
        });
    }
}

impl State {
    /// Returns whether a call needs a turn at a server because it is cold or ramps up.
    pub(crate) fn needs_cold_turn(&self, now: Tick, server: &Server) -> bool {
        self.cold.is_limited(now, &server.id, server.started_at_ms)
            && self.cold_terms(server).is_some()
    }

    /// Grants turns at a cold server for this instance or another one, within the part of its rate that this instance may
    /// grant.
    pub fn grant_cold_turn(&mut self, now: Tick, server: &Name, demand: Demand) -> Turn {
        let Some(listed) = self.roster.get(server).cloned() else {
            return Turn::Denied {
                retry_in: UNLISTED_RETRY,
            };
        };
        let Some(terms) = self.cold_terms(&listed) else {
            return Turn::Granted {
                requests: demand.requests,
                wait: Duration::ZERO,
                next_in: Duration::ZERO,
            };
        };
        let standing = self.members.standing(now, server, &listed.domain);
        // Others take the instance that stops for lost, and the next one takes its place once its entry is gone.
        let rank = standing.max(usize::from(self.stop.is_some()));
        self.cold
            .take(now, server, listed.started_at_ms, terms, rank, demand)
    }

    /// Records the entry of a server, which was written some time ago. `left` is how much longer the server was cold then.
    pub fn record_cold_entry(
        &mut self,
        now: Tick,
        time_of_day: Stamp,
        server: &Server,
        sequence: u64,
        left: Duration,
    ) {
        let pool = self.config.as_ref().map(|config| config.pool(&server.pool));
        let is_unlimited = pool.is_some_and(|pool| pool.is_none_or(|pool| pool.cold.is_none()));
        if is_unlimited || self.cold.bound().is_none() {
            return;
        }
        let start_time = pool
            .flatten()
            .and_then(|pool| pool.cold)
            .map_or(Duration::ZERO, |cold| cold.start_time);
        let age = time_of_day - Stamp::from_millis(server.started_at_ms);
        let entry = Entry {
            server: &server.id,
            started_at_ms: server.started_at_ms,
            sequence,
            left: left.min(MAX_COLD_TIME),
            start_left: start_time.saturating_sub(age),
        };
        let change = self.cold.record_entry(now, entry);
        self.log_change(now, change, &server.id, server.started_at_ms, "entry");
    }

    /// Records what another instance reported of a cold server.
    pub fn record_cold_report(&mut self, now: Tick, source: &str, report: &Report) {
        if self.cold.bound().is_some() {
            let change = self.cold.record_report(now, report);
            self.log_change(now, change, &report.server, report.started_at_ms, source);
        }
    }

    /// Records how much longer a server is cold, as it stated in an answer to a request that was sent at a time.
    pub(crate) fn record_cold_answer(
        &mut self,
        times: (Tick, Tick),
        server: &Name,
        started_at_ms: u64,
        left: Duration,
    ) {
        if self.cold.bound().is_some() {
            let left = left.min(MAX_COLD_TIME);
            let change = self.cold.record_answer(times, server, started_at_ms, left);
            self.log_change(times.1, change, server, started_at_ms, "answer");
        }
    }

    /// Counts all servers of a failure domain as cold, as it returns, until entries that are read later say otherwise.
    pub fn record_domain_return(&mut self, now: Tick, domain: &Name) {
        let servers: Vec<_> = self.roster.all().cloned().collect();
        let mut count = 0;
        for server in servers.iter().filter(|server| server.domain == *domain) {
            if self.cold_terms(server).is_some() {
                let run = server.started_at_ms;
                self.cold.record_event(now, &server.id, run, false);
                count += 1;
            }
        }
        if count > 0 {
            log::info!(target: "servers", domain:% = domain, servers = count; "servers of a failure domain count as cold");
        }
    }

    /// Counts a server as cold after a failed call, if the failure may show that it was away.
    pub(crate) fn record_cold_failure(&mut self, now: Tick, server: &Server, failure: Failure) {
        // A cut of this instance says nothing about its servers.
        if self.links.is_cut_off() || self.cold_terms(server).is_none() {
            return;
        }
        let is_shared = match failure {
            Failure::Unreachable | Failure::Unacknowledged => true,
            // The end of one connection is less certain, so others are told only with questions for a turn.
            Failure::Broken => false,
            _ => return,
        };
        let run = server.started_at_ms;
        let change = self.cold.record_event(now, &server.id, run, is_shared);
        self.log_change(now, change, &server.id, run, "failure");
    }

    /// Returns how many requests a cold server takes, if its pool states it.
    fn cold_terms(&self, server: &Server) -> Option<Terms> {
        let bound = self.cold.bound()?;
        let pool = self.config.as_ref()?.pool(&server.pool)?;
        Some(Terms {
            rate: pool.cold?.rate,
            bound,
        })
    }

    fn log_change(&self, now: Tick, change: Change, server: &Name, run: u64, source: &str) {
        let report = self.cold.report(now, server, run).unwrap_or_default();
        match change {
            Change::None => {}
            Change::Cold => {
                let event_ms = report.event_age.map(|age| age.as_millis());
                log::info!(
                    target: "servers", server:% = server, source = source, left_ms = report.left.as_millis(),
                    entries = report.sequence, event_age_ms:? = event_ms; "server is cold"
                );
            }
            Change::Warm => {
                log::info!(
                    target: "servers", server:% = server, source = source, entries = report.sequence;
                    "server is warm; its rate ramps up"
                );
            }
        }
    }
}
