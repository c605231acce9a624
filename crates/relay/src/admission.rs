//! Admits requests by the capacity that their stages have left.

use core::time::Duration;
use std::rc::Rc;

use base::{Code, Name, Tick};
use batch::{Backlog, Shard};
use mesh::Owner;
use room::controller::{Decision, Estimate, Reason, Request, Stage};
use site::{pool::Work, route};
use tokio::time;

use crate::{
    Hub, Job, Transport,
    attempt::{self, Attempts},
    balance,
    hub::State,
    stages::{self, DEFAULT_STAGE_TIME, piece_count},
};

/// The interval at which the backlogs of this instance's own shards are recorded, which is that at which they are computed.
const BACKLOG_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between reports to an instance with heartbeats. They count in full for a second, and many instances may ask
/// the owner of a shard; those that use the shard learn more from its answers.
const REPORT_INTERVAL: Duration = Duration::from_millis(800);

/// The smallest part of its capacity with which a domain is drawn, so that its backlog stays known.
const MIN_SPARE: f64 = 0.05;

/// Waits until a request may start its stages, and returns the failure domain for those with small results.
///
/// # Errors
///
/// - The code with which the request is refused.
pub(crate) async fn admit<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    attempts: &mut Attempts,
    preferred: Option<&Name>,
    since: Tick,
) -> Result<Option<Name>, Code> {
    let is_first = attempts.tried.is_empty() && !attempts.has_started && since == job.arrived_at;
    // A stream that goes on has used capacity before, which would be lost.
    if !is_first || job.resumption.is_some() {
        return Ok(draw_domain(hub, job, preferred));
    }
    let has_stages = (0..job.route.stages.len()).any(|stage| piece_count(job, stage) > 0);
    if has_stages {
        let stated = job.deadline - job.arrived_at;
        let route = &job.route.name;
        let waited = hub.with(|state| {
            let deadlines = &mut state.controller.deadlines;
            deadlines.record(job.arrived_at, route, stated)
        });
        job.waited.set(waited);
    }
    let mut is_delayed = false;
    loop {
        let now = hub.transport.now();
        let age = now - job.arrived_at;
        let request = Request {
            rank: job.rank,
            account: job.account.as_ref(),
            objective: job.route.objective,
            waited: job.waited.get() + age,
            has_returned: !job.waited.get().is_zero(),
            time_left: job.event_deadline(since) - now,
            delayed: if is_delayed { age } else { Duration::ZERO },
            draw: hub.with(|_| draw(job)),
        };
        let engine_time = stages::engine_time(hub, job);
        let (domain, estimate) = draw_with(hub, job, preferred, engine_time, &request);
        let decision = hub.with(|state| state.controller.decide(&request, &estimate));
        hub.with(|state| state.controller.record_decision(&request, decision));
        match decision {
            Decision::Start => {
                record_work(hub, job);
                return Ok(domain);
            }
            Decision::Delay(delay) => {
                if !is_delayed {
                    log_decision(hub, job, &request, &estimate, "delayed", delay);
                }
                is_delayed = true;
                time::sleep(delay).await;
            }
            Decision::Refuse {
                reason,
                retry_after,
            } => {
                attempts.retry_after = Some(retry_after);
                let (code, outcome) = match reason {
                    Reason::Deadline => (Code::DeadlineUnmeetable, "can't be in time"),
                    Reason::Late => (Code::Overloaded, "late while others can be on time"),
                    Reason::Account => (Code::Overloaded, "account above its share"),
                };
                log_decision(hub, job, &request, &estimate, outcome, retry_after);
                return Err(code);
            }
        }
    }
}

/// Returns the failure domain for a request's stages with small results, drawn by the domains' spare capacity, or none if
/// the deployment has no cells.
pub(crate) fn draw_domain<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    preferred: Option<&Name>,
) -> Option<Name> {
    let now = hub.transport.now();
    let request = Request {
        rank: job.rank,
        account: None,
        objective: job.route.objective,
        waited: job.waited.get() + (now - job.arrived_at),
        has_returned: false,
        time_left: job.time_left(now),
        delayed: Duration::ZERO,
        draw: draw(job),
    };
    let engine_time = stages::engine_time(hub, job);
    draw_with(hub, job, preferred, engine_time, &request).0
}

/// Returns whether the results of a stage are so small that it may run in any failure domain.
pub(crate) fn has_small_results<E: Transport>(hub: &Hub<E>, stage: &route::Stage) -> bool {
    stage.result_bytes < hub.settings.large_result_bytes
}

/// Returns the upper 53 bits of a request's digest as a number from 0 to 1.
fn draw<R>(job: &Job<R>) -> f64 {
    (job.digest >> 11) as f64 / (1_u64 << 53) as f64
}

/// Draws a failure domain, and estimates the request's course there.
fn draw_with<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    preferred: Option<&Name>,
    engine_time: Duration,
    request: &Request<'_>,
) -> (Option<Name>, Estimate) {
    let now = hub.transport.now();
    if job.route.stages.is_empty() {
        return (None, Estimate::default());
    }
    hub.with(|state| {
        state.record_own_backlogs(now, &hub.domain);
        let state = &*state;
        let estimate_in = |domain: Option<&Name>| {
            let stages = stages_in(hub, state, job, now, preferred, domain);
            state
                .controller
                .estimate(now, &stages, job.rank, engine_time)
        };
        if !state.members.has_cells() {
            return (None, estimate_in(None));
        }
        let is_reachable = |domain: &Name| {
            job.allows_server(domain) && !state.fleet.reachability.is_unreachable(now, domain)
        };
        let small = job.route.stages.iter();
        let small = small.filter(|stage| has_small_results(hub, stage));
        let domains = small.map(|stage| {
            let servers = state.roster.usable(now, &stage.pool);
            let domains = servers.map(|server| &server.domain);
            domains
                .filter(|domain| is_reachable(domain))
                .collect::<Vec<_>>()
        });
        let domains: Vec<_> = domains.collect();
        let spare = |domain: &Name| spare(&estimate_in(Some(domain)), request);
        let domain = balance::choose_by_spare(&domains, spare, request.draw).cloned();
        let estimate = estimate_in(domain.as_ref());
        (domain, estimate)
    })
}

/// Returns the spare part of a chain of stages: the part of the time that it leaves a request if nothing is queued.
fn spare(estimate: &Estimate, request: &Request<'_>) -> f64 {
    let part = |left: Duration, expected: Duration| {
        let spare = left.saturating_sub(expected);
        let usual = left.saturating_sub(estimate.idle);
        spare.div_duration_f64(usual.max(Duration::from_millis(1)))
    };
    let objective_left = request.objective.saturating_sub(request.waited);
    let spare = match objective_left > estimate.on_time {
        true => part(objective_left, estimate.on_time),
        // Late work goes where it is in time.
        false => MIN_SPARE * (1.0 + part(request.time_left, estimate.late)),
    };
    spare.clamp(MIN_SPARE, 1.0)
}

/// Returns the stages of a request whose stages with small results run in a failure domain.
fn stages_in<'a, E: Transport>(
    hub: &Hub<E>,
    state: &State,
    job: &'a Job<E::Request>,
    now: Tick,
    preferred: Option<&Name>,
    domain: Option<&Name>,
) -> Vec<Stage<'a>> {
    let stages = job.route.stages.iter().enumerate();
    let stages = stages.map(|(at, stage)| {
        let nearest = match has_small_results(hub, stage) {
            true => domain.or(preferred),
            false => preferred,
        };
        let pool = state
            .config
            .as_ref()
            .and_then(|config| config.pool(&stage.pool));
        Stage {
            shard: state.nearest_shard(now, &hub.domain, &stage.pool, nearest),
            depends_on: &stage.depends_on,
            call_time: match pool.map(|pool| pool.work) {
                Some(Work::Pieces(work)) => work.full_call_time(),
                _ => DEFAULT_STAGE_TIME,
            },
            is_omitted: piece_count(job, at) == 0,
        }
    });
    stages.collect()
}

/// Records the work of a request that starts for its account.
fn record_work<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>) {
    let Some(account) = &job.account else {
        return;
    };
    let work =
        stages::work_time(hub, job).unwrap_or_default() + attempt::prompt_read_time(hub, job);
    let now = hub.transport.now();
    let work = work.max(Duration::from_millis(1));
    hub.with(|state| state.controller.accounts.record(now, account, work));
}

fn log_decision<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    request: &Request<'_>,
    estimate: &Estimate,
    outcome: &str,
    pause: Duration,
) {
    let account = job.account.as_ref();
    let shares = account.map_or(0.0, |account| {
        hub.with(|state| state.controller.accounts.shares(account))
    });
    log::info!(
        target: "admission", request:% = job.id, route:% = job.route.name, outcome = outcome,
        rank = job.rank.account, route_rank = job.rank.route, account:% = account.map_or("", Name::as_str),
        shares = shares, waited_ms = request.waited.as_millis(), left_ms = request.time_left.as_millis(),
        objective_ms = request.objective.as_millis(), on_time_ms = estimate.on_time.as_millis(),
        late_ms = estimate.late.as_millis(), clear_ms = estimate.clear_in.as_millis(),
        memory_permille = estimate.memory_permille, report_age_ms = estimate.age.as_millis(),
        pause_ms = pause.as_millis(); "request not started"
    );
}

impl<E: Transport> Hub<E> {
    /// Returns the backlogs to report to another instance with a heartbeat: those of shards of this instance that have queues,
    /// if none were reported to it a short time ago.
    pub fn backlogs_for(&self, peer: &Name) -> Vec<(Shard, Backlog)> {
        let now = self.transport.now();
        self.with(|state| {
            let reported = &mut state.backlogs_reported;
            reported.retain(|(_, at)| now < *at + REPORT_INTERVAL);
            if reported.iter().any(|(name, _)| name == peer) {
                return Vec::new();
            }
            let mut backlogs = state.own_backlogs(now, &self.domain);
            backlogs.retain(|(_, backlog)| !backlog.levels.is_empty());
            if !backlogs.is_empty() {
                state.backlogs_reported.push((peer.clone(), now));
            }
            backlogs
        })
    }

    /// Returns the backlog of a shard if this instance owns it.
    pub fn own_backlog(&self, shard: &Shard) -> Option<(Shard, Backlog)> {
        let now = self.transport.now();
        self.with(|state| state.own_backlog(now, &self.domain, shard))
    }

    /// Records the backlogs of shards that another instance owns.
    pub fn record_backlogs(&self, owner: &Name, backlogs: Vec<(Shard, Backlog)>) {
        let now = self.transport.now();
        self.with(|state| {
            for (shard, backlog) in backlogs {
                let forecast = &mut state.controller.forecast;
                forecast.record(now, &shard, owner, backlog);
            }
        });
    }
}

impl State {
    /// Records the backlogs of the shards that this instance owns.
    fn record_own_backlogs(&mut self, now: Tick, domain: &Name) {
        if self
            .backlogs_at
            .is_some_and(|at| now < at + BACKLOG_INTERVAL)
        {
            return;
        }
        self.backlogs_at = Some(now);
        for (shard, backlog) in self.own_backlogs(now, domain) {
            let owner = Name::default();
            self.controller
                .forecast
                .record(now, &shard, &owner, backlog);
        }
    }

    fn own_backlogs(&mut self, now: Tick, domain: &Name) -> Vec<(Shard, Backlog)> {
        let shards: Vec<_> = self.scheduler.shards().cloned().collect();
        let backlogs = shards
            .iter()
            .filter_map(|shard| self.own_backlog(now, domain, shard));
        backlogs.collect()
    }

    fn own_backlog(&mut self, now: Tick, domain: &Name, shard: &Shard) -> Option<(Shard, Backlog)> {
        let domain = shard.domain.as_ref().unwrap_or(domain);
        if self.members.owner(now, &shard.pool, domain) != Owner::Local {
            return None;
        }
        let config = self.config.clone()?;
        let backlog = self.scheduler.backlog(now, &config, shard)?;
        Some((shard.clone(), backlog.clone()))
    }

    /// Returns the shard of a pool in a failure domain, or in the local or the first one with servers.
    pub(crate) fn nearest_shard(
        &self,
        now: Tick,
        local: &Name,
        pool: &Name,
        preferred: Option<&Name>,
    ) -> Shard {
        if !self.members.has_cells() {
            return Shard::whole(pool);
        }
        let mut first = None;
        let mut has_local = false;
        for server in self.roster.usable(now, pool) {
            let domain = &server.domain;
            if preferred == Some(domain) && !self.fleet.reachability.is_unreachable(now, domain) {
                first = Some(domain);
                has_local = false;
                break;
            }
            has_local |= domain == local;
            first = first.into_iter().chain([domain]).min();
        }
        let domain = if has_local { Some(local) } else { first };
        Shard {
            pool: pool.clone(),
            domain: Some(domain.unwrap_or(local).clone()),
        }
    }
}
