//! Runs the stages of a request in dependency order and tracks their results.

use core::time::Duration;
use std::rc::Rc;

use base::{Code, Name, Tick};
use batch::{
    Piece,
    piece::{Handle, Outcome, Reason, Source},
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use site::pool::Work as PoolWork;

use crate::{Hub, Job, Transport, admission, attempt};

/// The assumed time of a stage with an unknown pool: a call of 150 ms, some pieces and a wait.
pub(crate) const DEFAULT_STAGE_TIME: Duration = Duration::from_millis(250);

/// The expected time of a stage in full calls: on average a busy server is halfway through a call when a piece
/// arrives.
const CALLS_PER_STAGE: f64 = 1.5;

/// The share of a request's value that doesn't depend on its size, as the platform's rules state.
const FIXED_VALUE_SHARE: f64 = 0.3;

/// The largest size, relative to the route's average, that counts for a request's value; the platform's rules cap
/// the value at four.
const MAX_RELATIVE_SIZE: f64 = 5.0;

/// How long results of earlier stages are certain to exist; their servers keep them for 4 s.
const MIN_RESULT_LIFETIME: Duration = Duration::from_secs(3);

/// The results of the last stages, which are released when this is dropped.
pub(crate) struct Inputs<E: Transport> {
    hub: Rc<Hub<E>>,
    pub(crate) handles: Vec<Handle>,
    pub(crate) bytes: u64,
}

impl<E: Transport> Inputs<E> {
    pub(crate) fn empty(hub: &Rc<Hub<E>>) -> Self {
        Self {
            hub: hub.clone(),
            handles: Vec::new(),
            bytes: 0,
        }
    }

    /// Returns the failure domain of the first result if the results are large; results of a stage are mostly stored
    /// together.
    pub(crate) fn domain(&self) -> Option<Name> {
        if self.bytes < self.hub.settings.large_result_bytes {
            return None;
        }
        let first = self.handles.first()?;
        self.hub.domain_of(first)
    }
}

impl<E: Transport> Drop for Inputs<E> {
    fn drop(&mut self) {
        self.hub.release(core::mem::take(&mut self.handles));
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Pending,
    Running,
    /// All pieces have results, or the stage is omitted.
    Complete,
}

/// The execution of one request's stages.
struct Run<'a, E: Transport> {
    hub: &'a Rc<Hub<E>>,
    job: &'a Job<E::Request>,
    phases: Vec<Phase>,
    /// The results that were not released yet, by stage.
    results: Vec<Vec<Handle>>,
    domain: Option<Name>,
    /// The failure domain for stages with small results, in a deployment of cells.
    small_results_domain: Option<Name>,
    /// The time from which the caller waits.
    since: Tick,
    /// The request's value per second of stage work.
    density: u32,
}

impl<E: Transport> Drop for Run<'_, E> {
    fn drop(&mut self) {
        self.hub.release(self.results.drain(..).flatten().collect());
    }
}

/// Runs the stages of a request and returns the results that it reads. Stages with small results run in
/// `small_results_domain` if possible, and the others in `domain`.
///
/// # Errors
///
/// - The code with which the request is refused; the request itself has not run.
pub(crate) async fn run<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    domain: Option<Name>,
    small_results_domain: Option<Name>,
    since: Tick,
) -> Result<Inputs<E>, Code> {
    let count = job.route.stages.len();
    let phases = (0..count).map(|at| match piece_count(job, at) {
        0 => Phase::Complete,
        _ => Phase::Pending,
    });
    let mut run = Run {
        hub,
        job,
        phases: phases.collect(),
        results: vec![Vec::new(); count],
        domain,
        small_results_domain,
        since,
        density: density(hub, job),
    };
    let mut running = FuturesUnordered::new();
    loop {
        for stage in run.start_ready() {
            let pieces = run.build_pieces(stage);
            let pool = &job.route.stages[stage].pool;
            let reach = job.reach.as_deref();
            running.push(async move { (stage, hub.run_pieces(pool, pieces, reach).await) });
        }
        match running.next().await {
            Some((stage, outcomes)) => run.record_outcomes(stage, outcomes)?,
            None => return Ok(run.take_inputs()),
        }
    }
}

/// Returns a request's value per second of stage work, times 1,000.
///
/// One part of the value is the same for every request, and the rest is proportional to its size. The fixed time of a
/// call is shared by its pieces.
fn density<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>) -> u32 {
    let work = work_time(hub, job);
    let size = hub.with(|state| {
        state
            .estimator
            .record_size(&job.route.name, job.weighted_tokens())
    });
    let value = FIXED_VALUE_SHARE + (1.0 - FIXED_VALUE_SHARE) * size.min(MAX_RELATIVE_SIZE);
    let seconds = work.unwrap_or_default().as_secs_f64().max(1e-3);
    // Pieces of an account above its share are deferred first within their rank.
    let priority = hub.with(|state| {
        let accounts = &state.controller.accounts;
        let account = job.account.as_ref();
        account.map_or(1.0, |account| accounts.priority(account))
    });
    (value * priority * 1e3 / seconds) as u32
}

/// Returns the work of a request's stages, or none if a pool is unknown.
pub(crate) fn work_time<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>) -> Option<Duration> {
    hub.with(|state| {
        let config = state.config.as_ref()?;
        let stages = job.route.stages.iter().enumerate();
        let work = stages.map(|(at, stage)| match config.pool(&stage.pool)?.work {
            PoolWork::Pieces(work) => Some(work.time_per_piece() * piece_count(job, at)),
            PoolWork::Engine(_) | PoolWork::Plain => None,
        });
        work.sum::<Option<Duration>>()
    })
}

/// Returns the expected time from the end of a request's stages to its first event.
pub(crate) fn engine_time<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>) -> Duration {
    let prompt_read_time = attempt::prompt_read_time(hub, job);
    let route = &job.route.name;
    hub.with(|state| state.estimator.first_event_time(route, prompt_read_time))
}

/// Returns the number of pieces of a stage.
pub(crate) fn piece_count<R>(job: &Job<R>, stage: usize) -> u32 {
    job.pieces.get(stage).copied().unwrap_or(0)
}

impl<E: Transport> Run<'_, E> {
    /// Marks the stages that can start now as running and returns them.
    fn start_ready(&mut self) -> Vec<usize> {
        let stages = &self.job.route.stages;
        let ready = (0..stages.len()).filter(|stage| {
            let mut dependencies = stages[*stage].depends_on.iter();
            self.phases[*stage] == Phase::Pending
                && dependencies.all(|dependency| self.phases[*dependency] == Phase::Complete)
                && !self.should_wait(*stage)
        });
        let ready: Vec<_> = ready.collect();
        for stage in &ready {
            self.phases[*stage] = Phase::Running;
        }
        ready
    }

    /// Returns whether a stage should wait because a longer chain of stages is incomplete, so that its results would
    /// only occupy memory.
    fn should_wait(&self, stage: usize) -> bool {
        let route = &self.job.route;
        let depth = route.depth_after(stage);
        (0..route.stages.len())
            .any(|at| self.phases[at] != Phase::Complete && route.depth_after(at) > depth)
    }

    fn build_pieces(&self, stage: usize) -> Vec<Piece> {
        let config = &self.job.route.stages[stage];
        let source = if config.depends_on.is_empty() {
            Source::Key(self.job.piece_key.clone())
        } else {
            let inputs = config
                .depends_on
                .iter()
                .flat_map(|dependency| &self.results[*dependency]);
            Source::Results(inputs.cloned().collect())
        };
        let (preferred_domain, transfer_bytes) = self.placement(stage);
        // Reserve time for the stages and the engine that follow.
        let engine_time = engine_time(self.hub, self.job);
        let time_after = self.time_after(stage, true) + engine_time;
        let least_after = self.time_after(stage, false) + engine_time;
        // The objective counts from the caller's first attempt.
        let objective = self.job.route.objective;
        let objective = objective.saturating_sub(self.job.waited.get());
        let time_left = self.job.event_deadline(self.since) - self.since;
        let mut deadline = self.since + time_left.saturating_sub(time_after);
        if !config.depends_on.is_empty() {
            deadline = deadline.min(self.hub.transport.now() + MIN_RESULT_LIFETIME);
        }
        let due = self.since + objective.saturating_sub(time_after);
        let latest = self.since + objective.saturating_sub(least_after);
        let pieces = (0..piece_count(self.job, stage)).map(|number| Piece {
            ticket: 0,
            request: self.job.id.clone(),
            stage,
            number,
            source: source.clone(),
            rank: self.job.rank,
            density: self.density,
            due,
            slack: latest - due,
            deadline,
            result_bytes: config.result_bytes,
            preferred_domain: preferred_domain.clone(),
            transfer_bytes,
            attempts: 0,
        });
        pieces.collect()
    }

    /// Returns the time of the longest chain of stages that depend on a stage, in full calls. With `has_waits` each
    /// waits for half of another one, or for longer where the stage's backlog lets expect that.
    fn time_after(&self, stage: usize, has_waits: bool) -> Duration {
        let stages = &self.job.route.stages;
        let next = (0..stages.len()).filter(|at| stages[*at].depends_on.contains(&stage));
        next.map(|at| {
            let own_time = match piece_count(self.job, at) {
                0 => Duration::ZERO,
                _ => {
                    let call_time = self.full_call_time(&stages[at].pool);
                    if !has_waits {
                        return call_time + self.time_after(at, has_waits);
                    }
                    let expected = call_time + self.expected_wait(at);
                    expected.max(call_time.mul_f64(CALLS_PER_STAGE))
                }
            };
            own_time + self.time_after(at, has_waits)
        })
        .max()
        .unwrap_or_default()
    }

    /// Returns the wait that the backlog of a stage lets expect, or zero if it is not known.
    fn expected_wait(&self, stage: usize) -> Duration {
        let is_small = admission::has_small_results(self.hub, &self.job.route.stages[stage]);
        let domain = match is_small {
            true => self.small_results_domain.as_ref().or(self.domain.as_ref()),
            false => self.domain.as_ref(),
        };
        let now = self.hub.transport.now();
        let pool = &self.job.route.stages[stage].pool;
        self.hub.with(|state| {
            let shard = state.nearest_shard(now, &self.hub.domain, pool, domain);
            let forecast = &state.controller.forecast;
            let wait = forecast.wait(now, &shard, self.job.rank);
            wait.map_or(Duration::ZERO, |wait| wait.on_time)
        })
    }

    fn full_call_time(&self, pool: &Name) -> Duration {
        self.hub.with(|state| {
            let pool = state.config.as_ref().and_then(|config| config.pool(pool));
            match pool.map(|pool| pool.work) {
                Some(PoolWork::Pieces(work)) => work.full_call_time(),
                _ => DEFAULT_STAGE_TIME,
            }
        })
    }

    /// Returns the preferred failure domain for the pieces of a stage, and the bytes that cross domains for each
    /// piece that runs in another one; every piece reads all results of the stages that its stage depends on.
    fn placement(&self, stage: usize) -> (Option<Name>, u64) {
        let stages = &self.job.route.stages;
        let result_bytes = stages[stage].result_bytes;
        let mut input_bytes: Vec<(Name, u64)> = Vec::new();
        for dependency in &stages[stage].depends_on {
            for handle in &self.results[*dependency] {
                let Some(domain) = self.hub.domain_of(handle) else {
                    continue;
                };
                match input_bytes.iter_mut().find(|(known, _)| *known == domain) {
                    Some((_, sum)) => *sum += stages[*dependency].result_bytes,
                    None => input_bytes.push((domain, stages[*dependency].result_bytes)),
                }
            }
        }
        match input_bytes.into_iter().max_by_key(|(_, sum)| *sum) {
            Some((domain, sum)) if sum > result_bytes => (Some(domain), sum),
            _ if result_bytes < self.hub.settings.large_result_bytes
                && self.small_results_domain.is_some() =>
            {
                (self.small_results_domain.clone(), result_bytes)
            }
            _ => (self.domain.clone(), result_bytes),
        }
    }

    /// Records the outcomes of a stage, and releases the results that are no longer read.
    fn record_outcomes(&mut self, stage: usize, outcomes: Vec<Outcome>) -> Result<(), Code> {
        let mut failed = None;
        for outcome in outcomes {
            match outcome {
                Outcome::Result(handle) => self.results[stage].push(handle),
                Outcome::Failed(reason) => failed = Some(reason),
            }
        }
        if let Some(reason) = failed {
            log::info!(
                target: "stages", request:% = self.job.id, stage = stage, cause:? = reason;
                "stage failed"
            );
            return Err(match reason {
                Reason::Late => Code::DeadlineUnmeetable,
                Reason::Error | Reason::Gone | Reason::Room => Code::StageUnavailable,
            });
        }
        self.phases[stage] = Phase::Complete;
        // Results that only completed stages read are no longer needed.
        let stages = &self.job.route.stages;
        for dependency in &stages[stage].depends_on {
            let mut readers =
                (0..stages.len()).filter(|at| stages[*at].depends_on.contains(dependency));
            if readers.all(|reader| self.phases[reader] == Phase::Complete) {
                self.hub
                    .release(core::mem::take(&mut self.results[*dependency]));
            }
        }
        Ok(())
    }

    fn take_inputs(&mut self) -> Inputs<E> {
        let mut inputs = Inputs::empty(self.hub);
        for stage in self.job.route.last_stages() {
            let results = core::mem::take(&mut self.results[stage]);
            inputs.bytes += self.job.route.stages[stage].result_bytes * results.len() as u64;
            inputs.handles.extend(results);
        }
        inputs
    }
}
