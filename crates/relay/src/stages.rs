//! The stages of a request: which can begin, and where their results lie.

use core::time::Duration;
use std::rc::Rc;

use base::{Code, Name, Tick};
use batch::{
    Piece,
    piece::{Handle, Outcome, Reason, Source},
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use site::pool::Work as PoolWork;

use crate::{Hub, Job, Transport, balance};

/// The usual time of a stage whose pool is not known: a call of 150 ms, some pieces and a wait.
const USUAL: Duration = Duration::from_millis(250);

/// The time of a stage in full calls: a busy server is halfway through a call on average when a piece comes.
const WITH_WAIT: f64 = 1.5;

/// The share of a request's worth that does not go by its size; the platform's rules state it.
const WORTH_FIXED: f64 = 0.3;

/// The most mean sizes that count for a request's worth; the platform's rules cap the worth at four.
const SIZE_MOST: f64 = 5.0;

/// How long the results of earlier stages are sure to be there; their makers keep them for 4 s.
const RESULTS_LAST: Duration = Duration::from_secs(3);

/// Results of the last stages; they are given up when this is dropped.
pub(crate) struct Inputs<E: Transport> {
    hub: Rc<Hub<E>>,
    pub(crate) handles: Vec<Handle>,
    pub(crate) bytes: u64,
}

impl<E: Transport> Inputs<E> {
    pub(crate) fn none(hub: &Rc<Hub<E>>) -> Self {
        Self {
            hub: hub.clone(),
            handles: Vec::new(),
            bytes: 0,
        }
    }

    /// Returns the failure domain in which most of the results lie, where they are large.
    pub(crate) fn domain(&self) -> Option<Name> {
        if self.bytes < self.hub.settings.large_result_bytes {
            return None;
        }
        let first = self.handles.first()?;
        self.hub.domain_of(first.address)
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
    Begun,
    /// Every result was made, or the stage is omitted.
    Whole,
}

/// The work on one request's stages.
struct Work<'a, E: Transport> {
    hub: &'a Rc<Hub<E>>,
    job: &'a Job<E::Request>,
    phases: Vec<Phase>,
    /// By stage, the results that are there and were not given up.
    results: Vec<Vec<Handle>>,
    domain: Option<Name>,
    /// Where stages with small results are worked on, in a deployment of cells.
    light: Option<Name>,
    /// Since when the caller waits.
    since: Tick,
    /// What the request is worth for each second of work on its stages.
    density: u32,
}

impl<E: Transport> Drop for Work<'_, E> {
    fn drop(&mut self) {
        self.hub.release(self.results.drain(..).flatten().collect());
    }
}

/// Works on the stages of a request and returns the results that it reads.
///
/// # Errors
///
/// - The code with which the request is refused; the request itself has not run.
pub(crate) async fn run<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    domain: Option<Name>,
    since: Tick,
) -> Result<Inputs<E>, Code> {
    let count = job.route.stages.len();
    let phases = (0..count).map(|at| match pieces(job, at) {
        0 => Phase::Whole,
        _ => Phase::Pending,
    });
    let mut work = Work {
        hub,
        job,
        phases: phases.collect(),
        results: vec![Vec::new(); count],
        domain,
        light: light(hub, job),
        since,
        density: density(hub, job),
    };
    let mut under_way = FuturesUnordered::new();
    loop {
        for stage in work.begin() {
            let pieces = work.pieces(stage);
            let pool = &job.route.stages[stage].pool;
            under_way.push(async move { (stage, hub.run_pieces(pool, pieces).await) });
        }
        match under_way.next().await {
            Some((stage, made)) => work.made(stage, made)?,
            None => return Ok(work.inputs()),
        }
    }
}

/// Returns the failure domain that works on a request's stages with small results, drawn by what the domains'
/// servers can do; none where every pool is fed as a whole.
fn light<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>) -> Option<Name> {
    let now = hub.transport.now();
    let stages = job.route.stages.iter();
    let stages = stages.filter(|stage| stage.result_bytes < hub.settings.large_result_bytes);
    let pools: Vec<_> = stages.map(|stage| &stage.pool).collect();
    let draw = (job.digest >> 11) as f64 / (1_u64 << 53) as f64;
    hub.with(|state| {
        if !state.members.has_cells() {
            return None;
        }
        let is_open = |domain: &Name| !state.fleet.reachability.is_unreachable(now, domain);
        let counts = pools.iter().map(|pool| {
            let servers = state.roster.usable(now, pool).map(|server| &server.domain);
            servers.filter(|domain| is_open(domain)).collect::<Vec<_>>()
        });
        let counts: Vec<_> = counts.collect();
        balance::choose_domain(&counts, draw).cloned()
    })
}

/// Returns what a request is worth for each second of work on its stages.
///
/// A part of the worth is the same for every request, the rest goes by its size; a call's fixed time is shared by
/// its pieces.
fn density<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>) -> u32 {
    let work = hub.with(|state| {
        let config = state.config.as_ref()?;
        let stages = job.route.stages.iter().enumerate();
        let work = stages.map(|(at, stage)| match config.pool(&stage.pool)?.work {
            PoolWork::Pieces(work) => Some(work.time_per_piece() * pieces(job, at)),
            PoolWork::Engine(_) | PoolWork::Plain => None,
        });
        work.sum::<Option<Duration>>()
    });
    let size = hub.with(|state| {
        state
            .estimator
            .record_size(&job.route.name, job.weighted_tokens())
    });
    let worth = WORTH_FIXED + (1.0 - WORTH_FIXED) * size.min(SIZE_MOST);
    let seconds = work.unwrap_or_default().as_secs_f64().max(1e-3);
    (worth * 1e3 / seconds) as u32
}

/// Returns the number of pieces of a stage.
fn pieces<R>(job: &Job<R>, stage: usize) -> u32 {
    job.pieces.get(stage).copied().unwrap_or(0)
}

impl<E: Transport> Work<'_, E> {
    /// Returns the stages that can begin now.
    fn begin(&mut self) -> Vec<usize> {
        let stages = &self.job.route.stages;
        let ready = (0..stages.len()).filter(|stage| {
            let mut after = stages[*stage].depends_on.iter();
            self.phases[*stage] == Phase::Pending
                && after.all(|before| self.phases[*before] == Phase::Whole)
                && !self.is_early(*stage)
        });
        let ready: Vec<_> = ready.collect();
        for stage in &ready {
            self.phases[*stage] = Phase::Begun;
        }
        ready
    }

    /// Tells whether a longer row of stages is under way: a result that is made now would only lie there.
    fn is_early(&self, stage: usize) -> bool {
        let route = &self.job.route;
        let depth = route.depth_after(stage);
        (0..route.stages.len())
            .any(|at| self.phases[at] != Phase::Whole && route.depth_after(at) > depth)
    }

    fn pieces(&self, stage: usize) -> Vec<Piece> {
        let stated = &self.job.route.stages[stage];
        let source = if stated.depends_on.is_empty() {
            Source::Key(self.job.piece_key.clone())
        } else {
            let before = stated
                .depends_on
                .iter()
                .flat_map(|before| &self.results[*before]);
            Source::Results(before.cloned().collect())
        };
        let (domain, pull) = self.place(stage);
        // What follows the stage needs its time, too.
        let after = self.time_after(stage) + self.engine_time();
        let left = self.job.event_deadline(self.since) - self.since;
        let mut deadline = self.since + left.saturating_sub(after);
        if !stated.depends_on.is_empty() {
            deadline = deadline.min(self.hub.transport.now() + RESULTS_LAST);
        }
        let pieces = (0..pieces(self.job, stage)).map(|number| Piece {
            ticket: 0,
            request: self.job.id.clone(),
            stage,
            number,
            source: source.clone(),
            rank: self.job.rank,
            density: self.density,
            due: self.since + self.job.route.objective.saturating_sub(after),
            deadline,
            result_bytes: stated.result_bytes,
            preferred_domain: domain.clone(),
            transfer_bytes: pull,
            attempts: 0,
        });
        pieces.collect()
    }

    /// Returns the time that the longest row of stages after a stage takes, if each call is full and half
    /// of another one is waited for.
    fn time_after(&self, stage: usize) -> Duration {
        let stages = &self.job.route.stages;
        let next = (0..stages.len()).filter(|at| stages[*at].depends_on.contains(&stage));
        next.map(|at| {
            let own = match pieces(self.job, at) {
                0 => Duration::ZERO,
                _ => self.full_call(&stages[at].pool).mul_f64(WITH_WAIT),
            };
            own + self.time_after(at)
        })
        .max()
        .unwrap_or_default()
    }

    fn full_call(&self, pool: &Name) -> Duration {
        self.hub.with(|state| {
            let pool = state.config.as_ref().and_then(|config| config.pool(pool));
            match pool.map(|pool| pool.work) {
                Some(PoolWork::Pieces(work)) => work.full_call_time(),
                _ => USUAL,
            }
        })
    }

    fn engine_time(&self) -> Duration {
        let reading = self.job.prompt_read_time();
        let route = &self.job.route.name;
        self.hub
            .with(|state| state.estimator.first_event_time(route, reading))
    }

    /// Returns the failure domain that is best for the pieces of a stage, and the bytes that cross
    /// domains for each piece that is made elsewhere: every piece reads all results before it.
    fn place(&self, stage: usize) -> (Option<Name>, u64) {
        let stages = &self.job.route.stages;
        let own = stages[stage].result_bytes;
        let mut bytes: Vec<(Name, u64)> = Vec::new();
        for before in &stages[stage].depends_on {
            for handle in &self.results[*before] {
                let Some(domain) = self.hub.domain_of(handle.address) else {
                    continue;
                };
                match bytes.iter_mut().find(|(known, _)| *known == domain) {
                    Some((_, sum)) => *sum += stages[*before].result_bytes,
                    None => bytes.push((domain, stages[*before].result_bytes)),
                }
            }
        }
        match bytes.into_iter().max_by_key(|(_, sum)| *sum) {
            Some((domain, sum)) if sum > own => (Some(domain), sum),
            _ if own < self.hub.settings.large_result_bytes && self.light.is_some() => {
                (self.light.clone(), own)
            }
            _ => (self.domain.clone(), own),
        }
    }

    /// Takes the results of a stage.
    fn made(&mut self, stage: usize, made: Vec<Outcome>) -> Result<(), Code> {
        let mut failed = None;
        for made in made {
            match made {
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
        self.phases[stage] = Phase::Whole;
        // The results that only this stage reads are of no more use.
        let stages = &self.job.route.stages;
        for before in &stages[stage].depends_on {
            let mut readers =
                (0..stages.len()).filter(|at| stages[*at].depends_on.contains(before));
            if readers.all(|reader| self.phases[reader] == Phase::Whole) {
                self.hub
                    .release(core::mem::take(&mut self.results[*before]));
            }
        }
        Ok(())
    }

    fn inputs(&mut self) -> Inputs<E> {
        let mut inputs = Inputs::none(self.hub);
        for stage in self.job.route.last_stages() {
            let results = core::mem::take(&mut self.results[stage]);
            inputs.bytes += self.job.route.stages[stage].result_bytes * results.len() as u64;
            inputs.handles.extend(results);
        }
        inputs
    }
}
