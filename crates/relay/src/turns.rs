//! Turns at servers that limit the number of requests a second.

use core::time::Duration;
use std::rc::Rc;

use base::{Name, Tick};
use mesh::Owner;
use quota::{Statement, Turn};
use site::roster::Server;
use tokio::time;

use crate::{
    Hub, Job, Transport,
    attempt::{self, Choice},
    hub::State,
    stages::Inputs,
};

/// The number of servers at which a request asks for a turn before it waits for one.
const MAX_ASKS: usize = 4;

/// The number of instances that are asked for a turn at one server, as the first ones may have just been lost.
const MAX_HOLDERS: usize = 3;

/// How late a turn may be used: a process that stood still meanwhile asks for another one.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// How long a server is left alone if no instance that could grant turns answers.
const UNKNOWN_HOLD: Duration = Duration::from_millis(500);

/// The part of the time left that a request which is late already waits for its turn, as a divisor.
const LATE_WAIT_DIVISOR: u32 = 4;

/// The number of urgencies; the least urgent request waits a tenth as long as the most urgent one.
const URGENCIES: u32 = 10;

/// No server has a turn for the request in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoTurn;

/// Returns how long a request may wait for its turn and still be answered in time. Less urgent requests wait for less long,
/// so that the turns that are left go to the others.
pub(crate) fn max_wait<R>(job: &Job<R>, now: Tick, since: Tick) -> Duration {
    let due = since + job.route.objective;
    let left = (job.event_deadline(since) - now) / LATE_WAIT_DIVISOR;
    let wait = match due - now {
        Duration::ZERO => left,
        until_due => until_due.min(job.time_left(now)),
    };
    wait * (URGENCIES - u32::from(job.urgency())) / URGENCIES
}

/// Chooses a server for a request and takes a turn there if the server limits its request rate. Servers that have a turn at
/// once go before those that have one later.
pub(crate) async fn choose_in_turn<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    pool: &Name,
    inputs: &Inputs<E>,
    tried: &[Name],
    since: Tick,
) -> Result<Option<Choice>, NoTurn> {
    for _ in 0..MAX_ASKS {
        let Some(choice) = attempt::choose(hub, job, pool, inputs, tried) else {
            break;
        };
        if hub.take_turn(&choice.server, Duration::ZERO).await.is_ok() {
            return Ok(Some(choice));
        }
    }
    for _ in 0..MAX_ASKS {
        let now = hub.transport.now();
        let max_wait = max_wait(job, now, since);
        let first = hub.with(|state| state.first_in_turn(now, job, pool, tried));
        let Some((server, free_at)) = first else {
            // Servers that were held until now may be free again.
            let choice = attempt::choose(hub, job, pool, inputs, tried)
                .or_else(|| attempt::choose_blocked(hub, job, pool, inputs, tried));
            return Ok(
                choice.filter(|choice| hub.with(|state| state.rate_of(&choice.server).is_none()))
            );
        };
        if free_at - now > max_wait {
            return Err(NoTurn);
        }
        if hub.take_turn(&server, max_wait).await.is_ok() {
            let tokens = job.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens);
            return Ok(Some(Choice {
                server,
                tokens,
                fetch_from: None,
                is_blocked: false,
            }));
        }
    }
    Err(NoTurn)
}

impl<E: Transport> Hub<E> {
    /// Takes a turn at a server, and waits for it if it comes within `max_wait`. A server without a limit needs none.
    pub(crate) async fn take_turn(
        &self,
        server: &Server,
        max_wait: Duration,
    ) -> Result<(), NoTurn> {
        for _ in 0..MAX_HOLDERS {
            let now = self.transport.now();
            let asked = self.with(|state| {
                let statement = state.statement_of(server)?;
                let holder = state.members.holder(now, &server.id, &server.domain);
                Some((statement, holder))
            });
            let Some((statement, holder)) = asked else {
                return Ok(());
            };
            let turn = match holder {
                Owner::Local | Owner::Unavailable => {
                    self.with(|state| state.grant_turn(now, &server.id, max_wait))
                }
                Owner::Peer(peer) => {
                    let asked = self.transport.ask_turn(&peer, &statement, max_wait).await;
                    match asked {
                        Ok((turn, known)) => {
                            if let Some(known) = known {
                                self.with(|state| state.record_rate(known));
                            }
                            turn
                        }
                        Err(failure) => {
                            log::info!(
                                target: "peers", peer:% = peer.name, server:% = server.id, cause:% = failure;
                                "instance that grants turns was lost"
                            );
                            self.with(|state| state.members.mark_lost(&peer.name));
                            continue;
                        }
                    }
                }
            };
            let granted_at = self.transport.now();
            match turn {
                Turn::Granted { wait, next_in } => {
                    self.with(|state| {
                        state
                            .fleet
                            .hold(granted_at, &server.id, granted_at + next_in)
                    });
                    if wait > Duration::ZERO {
                        time::sleep(wait).await;
                    }
                    if self.transport.now() - granted_at <= wait + MAX_DELAY {
                        return Ok(());
                    }
                }
                Turn::Denied { retry_in } => {
                    self.with(|state| {
                        let until = granted_at + max_wait + retry_in;
                        state.fleet.hold(granted_at, &server.id, until);
                    });
                    return Err(NoTurn);
                }
            }
        }
        let now = self.transport.now();
        self.with(|state| state.fleet.hold(now, &server.id, now + UNKNOWN_HOLD));
        Err(NoTurn)
    }
}

impl State {
    /// Grants a turn at a server for this instance or another one, within the part of the limit that this instance may
    /// grant.
    pub fn grant_turn(&mut self, now: Tick, server: &Name, max_wait: Duration) -> Turn {
        let statement = self.limits.get(server);
        let rate = statement.and_then(|known| self.limits.rate(server, known.started_at_ms));
        match rate {
            Some(rate) => {
                let listed = self.roster.get(server);
                let domain = listed.map_or_else(Name::default, |listed| listed.domain.clone());
                let share = self.members.granted_share(now, server, &domain);
                self.meter.take(now, server, rate * share, max_wait)
            }
            None => Turn::Granted {
                wait: Duration::ZERO,
                next_in: Duration::ZERO,
            },
        }
    }

    /// Returns the statement of a server that limits its request rate.
    fn statement_of(&self, server: &Server) -> Option<Statement> {
        self.rate_of(server)?;
        self.limits.get(&server.id).cloned()
    }

    /// Returns the rate that a server takes, if it limits it.
    pub(crate) fn rate_of(&self, server: &Server) -> Option<f64> {
        self.limits.rate(&server.id, server.started_at_ms)
    }

    /// Returns the usable server of a pool that has a turn first, and when.
    fn first_in_turn<R>(
        &self,
        now: Tick,
        job: &Job<R>,
        pool: &Name,
        tried: &[Name],
    ) -> Option<(Rc<Server>, Tick)> {
        let servers = self.roster.usable(now, pool);
        let servers = servers.filter(|server| {
            job.may_use(server)
                && !tried.contains(&server.id)
                && !self.fleet.is_unusable(now, &server.id)
                && self.rate_of(server).is_some()
        });
        let free_at = |server: &Rc<Server>| self.fleet.held_until(now, &server.id).unwrap_or(now);
        let first = servers.min_by_key(|server| free_at(server))?;
        Some((first.clone(), free_at(first)))
    }
}
