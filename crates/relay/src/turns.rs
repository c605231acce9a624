//! Turns at servers that limit the number of requests a second.

use core::time::Duration;
use std::rc::Rc;

use base::{Name, Tick};
use mesh::Owner;
use quota::{Demand, Turn, brittle::Load};
use site::roster::Server;
use tokio::time;

use crate::{
    Hub, Job, Transport,
    attempt::{self, Choice},
    call::Grant,
    hub::State,
    stages::Inputs,
};

/// The number of servers at which a request asks for a turn before it waits for one.
const MAX_ASKS: usize = 4;

/// The shortest time between two rounds of questions for a turn.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The number of instances that are asked for a turn at one server, as the first ones may have just been lost.
const MAX_HOLDERS: usize = 3;

/// How late a turn may be used: a process that stood still meanwhile asks for another one.
pub(crate) const MAX_DELAY: Duration = Duration::from_millis(250);

/// How long a server is left alone if no instance that could grant turns answers.
pub(crate) const UNKNOWN_HOLD: Duration = Duration::from_millis(500);

/// The part of the time left that a request which is late already waits for its turn, as a divisor.
const LATE_WAIT_DIVISOR: u32 = 4;

/// The part of the time left for its next event that a stream which has begun waits for its turn.
const BEGUN_WAIT_SHARE: f64 = 0.75;

/// The longest such wait. Turns that were granted ahead are lost when the instance that holds them ends.
const MAX_BEGUN_WAIT: Duration = Duration::from_secs(3);

/// The number of urgencies; the least urgent request waits a tenth as long as the most urgent one.
const URGENCIES: u32 = 10;

/// The number of questions to a server whose run is unclear, unless it limits its requests.
const MAX_QUESTIONS: usize = 2;

/// The turns that were taken for a request at its server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Taken {
    /// When they came.
    pub(crate) at: Tick,
    /// Whether there is one for a question after the server's run, too.
    pub(crate) has_question: bool,
}

impl Taken {
    /// Returns what is taken at a server that needs no turn.
    pub(crate) const fn none(at: Tick) -> Self {
        Self {
            at,
            has_question: false,
        }
    }
}

/// No server has a turn for the request in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoTurn;

/// Returns how long a request may wait for its turn and still be answered in time. Less urgent requests wait for less long,
/// so that the turns that are left go to the others.
///
/// A stream that has begun waits for longer than a new one of its urgency: only the servers of its version can go on with
/// it, and its caller loses what it has. So new streams get the turns that no such stream waits for.
pub(crate) fn max_wait<R>(job: &Job<R>, now: Tick, since: Tick) -> Duration {
    let due = since + job.route.objective;
    let left = (job.event_deadline(since) - now) / LATE_WAIT_DIVISOR;
    let wait = match due - now {
        Duration::ZERO => left,
        until_due => until_due.min(job.time_left(now)),
    };
    let wait = match job.origin.get() {
        Some(_) => {
            let time_left = job.event_deadline(since) - now;
            wait.max(time_left.mul_f64(BEGUN_WAIT_SHARE).min(MAX_BEGUN_WAIT))
        }
        None => wait,
    };
    wait * (URGENCIES - u32::from(job.urgency())) / URGENCIES
}

/// Chooses a server for a request and takes its turns there if the server limits its request rate. Servers that have them at
/// once go before those that have them later. `is_direct` states whether this instance makes the call itself.
pub(crate) async fn choose_in_turn<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    pool: &Name,
    inputs: &Inputs<E>,
    tried: &[Name],
    since: Tick,
    is_direct: bool,
) -> Result<Option<Choice>, NoTurn> {
    for _ in 0..MAX_ASKS {
        let Some(choice) = attempt::choose(hub, job, pool, inputs, tried) else {
            break;
        };
        let demand = hub.demand(job, &choice.server, Duration::ZERO, is_direct);
        if hub.take_turn(&choice.server, demand).await.is_ok()
            && let Some(now) = hub.use_turn(job, &choice.server)
        {
            return Ok(Some(choice.with_turns(now, demand)));
        }
    }
    let started_at = hub.transport.now();
    let give_up_at = started_at + max_wait(job, started_at, since);
    loop {
        let now = hub.transport.now();
        let choice = attempt::choose(hub, job, pool, inputs, tried);
        let choice =
            choice.filter(|choice| !hub.with(|state| state.needs_turn(now, &choice.server, true)));
        if choice.is_some() {
            return Ok(choice);
        }
        let first = hub.with(|state| state.first_in_turn(now, job, pool, tried));
        let Some((server, free_at)) = first else {
            return Ok(choose_blocked_in_turn(hub, job, pool, inputs, tried, give_up_at).await);
        };
        if free_at > give_up_at || now > give_up_at {
            return Err(NoTurn);
        }
        let demand = hub.demand(job, &server, give_up_at - now, is_direct);
        if hub.take_turn(&server, demand).await.is_ok()
            && let Some(now) = hub.use_turn(job, &server)
        {
            let choice = Choice {
                server,
                tokens: job.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens),
                fetch_from: None,
                is_blocked: false,
                taken: Taken::none(now),
            };
            return Ok(Some(choice.with_turns(now, demand)));
        }
        // A server without room may have some a moment later.
        let now = hub.transport.now();
        let next = hub.with(|state| state.first_in_turn(now, job, pool, tried));
        let free_at = next.map_or(now, |(_, free_at)| free_at);
        time::sleep((free_at.min(give_up_at) - now).max(MIN_RETRY_DELAY)).await;
    }
}

/// Chooses a server that another instance has to call, and takes its turns there if it needs them: a server that could not
/// be reached may be cold.
async fn choose_blocked_in_turn<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    pool: &Name,
    inputs: &Inputs<E>,
    tried: &[Name],
    give_up_at: Tick,
) -> Option<Choice> {
    let choice = attempt::choose_blocked(hub, job, pool, inputs, tried)?;
    let max_wait = give_up_at - hub.transport.now();
    let demand = hub.demand(job, &choice.server, max_wait, false);
    hub.take_turn(&choice.server, demand).await.ok()?;
    let now = hub.transport.now();
    let may_use = hub.with(|state| state.may_get_work(now, &choice.server));
    if !may_use || job.time_left(now).is_zero() {
        hub.end_turn(&choice.server, false);
        return None;
    }
    Some(choice.with_turns(now, demand))
}

impl Choice {
    /// Records that turns were taken.
    fn with_turns(self, now: Tick, demand: Demand) -> Self {
        let taken = Taken {
            at: now,
            has_question: demand.requests > 1,
        };
        Self { taken, ..self }
    }
}

impl<E: Transport> Hub<E> {
    /// Returns what a request needs at a server. A request that only the listed run may get is preceded by a question unless a
    /// connection of this instance leads to that run. Both get their turns at once: the request's would be lost while the
    /// question waits for its own.
    fn demand(
        &self,
        job: &Job<E::Request>,
        server: &Server,
        max_wait: Duration,
        is_direct: bool,
    ) -> Demand {
        // The search for a connection reads the clock for each idle one, which is too dear for every request.
        let needs_question =
            job.is_bound(server) && !(is_direct && self.transport.leads_to_run(server));
        Demand {
            requests: 1 + u32::from(needs_question),
            max_wait,
            duration: job.time_left(self.transport.now()),
        }
    }

    /// Returns how often a server may be asked for its run. A turn at a server that limits its requests stands for one.
    pub fn max_questions(&self, server: &Server) -> usize {
        let now = self.transport.now();
        match self.with(|state| state.needs_turn(now, server, false)) {
            true => 1,
            false => MAX_QUESTIONS,
        }
    }

    /// Takes turns at a server, and waits for them if they come in time. A server without a limit needs none. The end of a
    /// request that takes a slot is recorded with [`Hub::end_turn`].
    pub(crate) async fn take_turn(&self, server: &Server, demand: Demand) -> Result<(), NoTurn> {
        self.take_stated_turn(server, demand).await?;
        let turn = self.take_cold_turn(server, demand).await;
        if turn.is_err() && !demand.duration.is_zero() {
            self.end_turn(server, false);
        }
        turn
    }

    /// Takes turns at a server that stated a limit.
    async fn take_stated_turn(&self, server: &Server, mut demand: Demand) -> Result<(), NoTurn> {
        for _ in 0..MAX_HOLDERS {
            let now = self.transport.now();
            let asked = self.with(|state| {
                if !state.needs_stated_turn(server, !demand.duration.is_zero()) {
                    return None;
                }
                let statement = state.limits.get(&server.id).cloned()?;
                let holder = state.members.holder(now, &server.id, &server.domain);
                let balance = state.meter.known_balance(now, &server.id);
                Some((statement, holder, balance))
            });
            let Some((statement, holder, balance)) = asked else {
                return Ok(());
            };
            let turn = match holder {
                Owner::Local | Owner::Unavailable => {
                    self.with(|state| state.grant_turn(now, &server.id, demand))
                }
                Owner::Peer(peer) => {
                    let asked = self.transport.ask_turn(&peer, &statement, balance, demand);
                    match asked.await {
                        Ok(grant) => {
                            self.with(|state| state.record_grant(now, &server.id, &grant));
                            grant.turn
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
                Turn::Granted {
                    requests,
                    wait,
                    next_in,
                } => {
                    self.with(|state| {
                        state
                            .fleet
                            .hold(granted_at, &server.id, granted_at + next_in)
                    });
                    if wait > Duration::ZERO {
                        time::sleep(wait).await;
                    }
                    if self.transport.now() - granted_at <= wait + MAX_DELAY {
                        // An instance of an earlier build grants one request at a time.
                        demand.requests = demand.requests.saturating_sub(requests);
                        if demand.requests == 0 {
                            return Ok(());
                        }
                        demand.duration = Duration::ZERO;
                    }
                }
                Turn::Denied { retry_in } => {
                    self.with(|state| {
                        state
                            .fleet
                            .hold(granted_at, &server.id, granted_at + retry_in);
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

impl<E: Transport> Hub<E> {
    /// Returns the time if a request may still be sent to the server whose turn it waited for, and gives the turn back
    /// otherwise: the server may have announced its departure meanwhile, or the deadline may have passed.
    fn use_turn(&self, job: &Job<E::Request>, server: &Server) -> Option<Tick> {
        let now = self.transport.now();
        let may_use = !job.time_left(now).is_zero()
            && self.with(|state| {
                state.may_get_work(now, server) && !state.fleet.is_unusable(now, &server.id)
            });
        if !may_use {
            self.end_turn(server, false);
        }
        may_use.then_some(now)
    }

    /// Records that the request of a turn has ended, and whether the server turned it away.
    pub(crate) fn end_turn(&self, server: &Server, is_rejected: bool) {
        let now = self.transport.now();
        let holder = self.with(|state| {
            state.limits.brittle(&server.id, server.started_at_ms)?;
            let holder = state.members.holder(now, &server.id, &server.domain);
            match holder {
                Owner::Peer(peer) => Some(peer),
                Owner::Local | Owner::Unavailable => {
                    state.brittle.record_end(now, &server.id, is_rejected);
                    None
                }
            }
        });
        if let Some(holder) = holder {
            self.transport
                .end_turn(holder, server.id.clone(), is_rejected);
        }
    }
}

impl State {
    /// Grants turns at a server for this instance or another one, within the part of the limits that this instance may
    /// grant.
    pub fn grant_turn(&mut self, now: Tick, server: &Name, demand: Demand) -> Turn {
        let mut turn = Turn::Granted {
            requests: demand.requests,
            wait: Duration::ZERO,
            next_in: Duration::ZERO,
        };
        let Some(run) = self.limits.get(server).map(|known| known.started_at_ms) else {
            return turn;
        };
        let listed = self.roster.get(server);
        let domain = listed.map_or_else(Name::default, |listed| listed.domain.clone());
        let slots = listed.map_or(1, |listed| listed.slots);
        let share = self.members.granted_share(now, server, &domain);
        self.members.monitor_successors(now, server, &domain);
        if let Some(max_rejections) = self.limits.brittle(server, run)
            && !demand.duration.is_zero()
        {
            let load = Load {
                slots: (f64::from(slots) * share).ceil() as u32,
                running: self.fleet.running_anywhere(now, server),
                max_rejections,
            };
            turn = self.brittle.take(now, server, load, demand);
        }
        match (self.limits.rate(server, run), turn) {
            (Some(rate), Turn::Granted { .. }) => {
                let turn = self.meter.take(now, server, rate * share, demand);
                if let Turn::Denied { .. } = turn
                    && !demand.duration.is_zero()
                {
                    self.brittle.record_end(now, server, false);
                }
                turn
            }
            _ => turn,
        }
    }

    /// Records what another instance states with the answer to a question that was asked at a time.
    fn record_grant(&mut self, asked_at: Tick, server: &Name, grant: &Grant) {
        if let Some(known) = &grant.statement {
            self.record_rate(known.clone());
        }
        if let Some(balance) = grant.balance {
            self.meter.record_balance(asked_at, server, balance);
        }
    }

    /// Returns whether a call needs a turn at a server.
    pub(crate) fn needs_turn(&self, now: Tick, server: &Server, takes_slot: bool) -> bool {
        self.needs_stated_turn(server, takes_slot) || self.needs_cold_turn(now, server)
    }

    /// Returns whether a call needs a turn at a server because of what the server stated.
    fn needs_stated_turn(&self, server: &Server, takes_slot: bool) -> bool {
        let rate = self.limits.rate(&server.id, server.started_at_ms);
        rate.is_some() || takes_slot && self.is_brittle(server)
    }

    /// Returns whether a server falls over when it has to turn too many requests away.
    pub(crate) fn is_brittle(&self, server: &Server) -> bool {
        let brittle = self.limits.brittle(&server.id, server.started_at_ms);
        brittle.is_some()
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
                && self.needs_turn(now, server, true)
        });
        let free_at = |server: &Rc<Server>| self.fleet.held_until(now, &server.id).unwrap_or(now);
        let first = servers.min_by_key(|server| free_at(server))?;
        Some((first.clone(), free_at(first)))
    }
}
