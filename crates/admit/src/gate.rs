//! The gate of one entry instance: which requests start, wait or are refused.

mod judge;
mod order;

use core::time::Duration;

use base::{Code, Name, Tick, request::Id};

use crate::{
    account::Accounts,
    budget::Pipeline,
    configs::Config,
    event::{Action, Ask, Context, Event, Verdict},
    line::{Entry, Kind, Line},
    pool::Pool,
    returns::Returns,
};

/// A request that was started and has not ended.
#[derive(Clone, Debug)]
struct Running {
    request: Id,
    pipeline: Name,
    account: Name,
    stage: usize,
    estimate: f64,
}

/// The gate of one entry instance.
///
/// # Examples
///
/// ```
/// use admit::{Ask, Context, Gate, Verdict};
/// use base::{Tick, request::Id};
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut gate = Gate::default();
/// gate.pipeline(&"draft".into(), &["runners".into()]);
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut cx = Context { now: Tick::default(), rng: &mut rng };
/// let ask = Ask {
///     request: Id::from_random(1),
///     account: "press".into(),
///     pipeline: "draft".into(),
///     priority: 0,
///     deadline: Tick::from_millis(5_000),
///     age_from: Tick::default(),
/// };
/// assert_eq!(gate.offer(&mut cx, ask), Verdict::Start);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Gate {
    config: Config,
    accounts: Accounts,
    lines: Vec<Line>,
    pipelines: Vec<Pipeline>,
    pools: Vec<Pool>,
    returns: Returns,
    running: Vec<Running>,
    starts: u64,
    waiting: usize,
    waiting_patient: usize,
}

impl Gate {
    /// Makes a gate that knows nothing yet.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Sets the weight of a client account.
    pub fn account(&mut self, name: &Name, weight: u32) {
        self.accounts.set(name, weight);
    }

    /// Sets the pools of a pipeline's stages.
    pub fn pipeline(&mut self, name: &Name, pools: &[Name]) {
        match self.find_pipeline(name) {
            Ok(at) => self.pipelines[at].set(pools),
            Err(at) => self
                .pipelines
                .insert(at, Pipeline::new(name.clone(), pools)),
        }
        for pool in pools {
            self.pool(pool);
        }
    }

    /// Returns the number of requests that wait.
    pub const fn waiting(&self) -> usize {
        self.waiting + self.waiting_patient
    }

    /// Returns the number of requests that were started and have not ended.
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the time that the stages of a pipeline from one on need, margin included.
    pub fn need(&self, now: Tick, pipeline: &Name, from: usize) -> Duration {
        self.find_pipeline(pipeline).map_or(Duration::ZERO, |at| {
            self.pipelines[at].need(&self.config.budget, now, from)
        })
    }

    /// Decides on a request.
    ///
    /// - It is refused at once if its deadline can't be met, a pool of its stages is down or the
    ///   queue is full.
    /// - It starts if every pool of its stages has room and nothing that goes first waits.
    /// - Otherwise it waits.
    pub fn offer(&mut self, cx: &mut Context<'_>, ask: Ask) -> Verdict {
        let Ok(at) = self.find_pipeline(&ask.pipeline) else {
            return Verdict::Refused(self.refuse(
                cx,
                Code::PipelineUnknown,
                Duration::ZERO,
                None,
                Duration::ZERO,
            ));
        };
        let kind = self.kind(&ask);
        if let Some(refusal) = self.judge(cx, &ask, &kind, at) {
            return Verdict::Refused(refusal);
        }
        let request = ask.request;
        self.queue(cx.now, &ask, kind);
        if self.start_one(cx.now, Some(request)) {
            return Verdict::Start;
        }
        Verdict::Queued
    }

    /// Takes an event and returns what to do with waiting requests.
    pub fn on(&mut self, cx: &mut Context<'_>, event: Event) -> Vec<Action> {
        match event {
            Event::StageTook {
                request,
                stage,
                took,
            } => self.stage_took(cx.now, request, stage, took),
            Event::Finished { request, cost } => self.finished(request, cost),
            Event::Cancelled { request } => self.cancelled(request),
            Event::Capacity {
                pool,
                places,
                retry_after,
            } => {
                let pool = self.pool(&pool);
                pool.places = Some(places);
                pool.retry_after = retry_after;
            }
        }
        self.starts_due(cx)
    }

    /// Refuses waiting requests that can't be answered in time any more and starts what may start.
    pub fn tick(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = self.overdue(cx);
        actions.extend(self.starts_due(cx));
        actions
    }

    fn kind(&self, ask: &Ask) -> Kind {
        Kind {
            pipeline: ask.pipeline.clone(),
            account: ask.account.clone(),
            priority: ask.priority,
            patient: ask.deadline - ask.age_from >= self.config.gate.patient,
        }
    }

    fn queue(&mut self, now: Tick, ask: &Ask, kind: Kind) {
        self.accounts.queued(&kind.account);
        if kind.patient {
            self.waiting_patient += 1;
        } else {
            self.waiting += 1;
        }
        let entry = Entry {
            request: ask.request,
            due: judge::due(now, ask),
            deadline: ask.deadline,
            age_from: ask.age_from,
        };
        let at = match self.lines.binary_search_by(|line| line.kind.cmp(&kind)) {
            Ok(at) => at,
            Err(at) => {
                self.lines.insert(at, Line::new(kind));
                at
            }
        };
        self.lines[at].add(entry);
    }

    fn starts_due(&mut self, cx: &Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(request) = self.next(cx.now) {
            actions.push(Action::Start(request));
        }
        actions
    }

    /// Starts the next request only if it is the one given.
    fn start_one(&mut self, now: Tick, wanted: Option<Id>) -> bool {
        let Some((line, entry)) = self.first(now) else {
            return false;
        };
        if wanted.is_some_and(|wanted| self.lines[line].entries[entry].request != wanted) {
            return false;
        }
        self.start(line, entry);
        true
    }

    fn next(&mut self, now: Tick) -> Option<Id> {
        let (line, entry) = self.first(now)?;
        Some(self.start(line, entry))
    }

    fn start(&mut self, line: usize, entry: usize) -> Id {
        let kind = self.lines[line].kind.clone();
        let request = self.remove(line, entry);
        self.starts += 1;
        let at = self.find_pipeline(&kind.pipeline);
        let estimate = at.map_or(0.0, |at| self.pipelines[at].cost.mean());
        self.accounts.started(&kind.account, estimate);
        self.move_ahead(&kind.pipeline, 0, 1);
        let running = Running {
            request,
            pipeline: kind.pipeline,
            account: kind.account,
            stage: 0,
            estimate,
        };
        if let Err(at) = self.find_running(request) {
            self.running.insert(at, running);
        }
        request
    }

    fn remove(&mut self, line: usize, entry: usize) -> Id {
        let removed = self.lines[line].entries.remove(entry);
        let kind = self.lines[line].kind.clone();
        self.accounts.dequeued(&kind.account);
        if kind.patient {
            self.waiting_patient -= 1;
        } else {
            self.waiting -= 1;
        }
        if self.lines[line].entries.is_empty() {
            self.lines.remove(line);
        }
        removed.request
    }

    fn overdue(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for line in (0..self.lines.len()).rev() {
            let Ok(at) = self.find_pipeline(&self.lines[line].kind.pipeline) else {
                continue;
            };
            let need = self.pipelines[at].need(&self.config.budget, cx.now, 0);
            let rate = self.rate(cx.now, at);
            for entry in (0..self.lines[line].entries.len()).rev() {
                if cx.now + need <= self.lines[line].entries[entry].deadline {
                    continue;
                }
                let left = self.lines[line].entries[entry].deadline - cx.now;
                let spare = left.saturating_sub(self.pipelines[at].usual());
                let request = self.remove(line, entry);
                let refusal = self.refuse(cx, Code::DeadlineUnmeetable, need, rate, spare);
                actions.push(Action::Refuse(request, refusal));
            }
        }
        actions
    }

    fn stage_took(&mut self, now: Tick, request: Id, stage: usize, took: Duration) {
        let Ok(at) = self.find_running(request) else {
            return;
        };
        let name = self.running[at].pipeline.clone();
        if let Ok(at) = self.find_pipeline(&name) {
            self.took(now, at, stage, took);
        }
        if stage == self.running[at].stage {
            self.running[at].stage += 1;
            self.pass(&name, stage);
        }
    }

    /// Takes a measured stage time; each pipeline with a stage at the pool learns by it.
    fn took(&mut self, now: Tick, pipeline: usize, stage: usize, took: Duration) {
        let config = &self.config.budget;
        let Some(pace) = self.pipelines[pipeline].took(config, stage, took) else {
            return;
        };
        let pool = self.pipelines[pipeline].stages[stage].pool.clone();
        for pipeline in &mut self.pipelines {
            pipeline.paced(config, now, &pool, pace);
        }
    }

    fn finished(&mut self, request: Id, cost: f64) {
        let Ok(at) = self.find_running(request) else {
            return;
        };
        let running = self.running.remove(at);
        self.move_ahead(&running.pipeline, running.stage, -1);
        self.accounts
            .finished(&running.account, running.estimate, cost);
        if let Ok(at) = self.find_pipeline(&running.pipeline) {
            let weight = self.config.budget.weight;
            self.pipelines[at].cost.sample(weight, cost);
        }
    }

    fn cancelled(&mut self, request: Id) {
        let found = self.lines.iter().enumerate().find_map(|(at, line)| {
            let entry = line
                .entries
                .iter()
                .position(|entry| entry.request == request)?;
            Some((at, entry))
        });
        if let Some((line, entry)) = found {
            self.remove(line, entry);
        }
    }

    /// Counts a request in or out at the pools of its stages from one on.
    fn move_ahead(&mut self, pipeline: &Name, from: usize, by: isize) {
        let Ok(at) = self.find_pipeline(pipeline) else {
            return;
        };
        for stage in self.pipelines[at].stages.iter_mut().skip(from) {
            stage.ahead = stage.ahead.saturating_add_signed(by);
        }
    }

    fn pass(&mut self, pipeline: &Name, stage: usize) {
        let Ok(at) = self.find_pipeline(pipeline) else {
            return;
        };
        if let Some(stage) = self.pipelines[at].stages.get_mut(stage) {
            stage.ahead = stage.ahead.saturating_sub(1);
        }
    }

    fn pool(&mut self, name: &Name) -> &mut Pool {
        let at = self.find_pool(name).unwrap_or_else(|at| {
            self.pools.insert(at, Pool::new(name.clone()));
            at
        });
        &mut self.pools[at]
    }

    fn find_pool(&self, name: &Name) -> Result<usize, usize> {
        self.pools.binary_search_by(|pool| pool.name.cmp(name))
    }

    fn find_pipeline(&self, name: &Name) -> Result<usize, usize> {
        self.pipelines
            .binary_search_by(|pipeline| pipeline.name.cmp(name))
    }

    fn find_running(&self, request: Id) -> Result<usize, usize> {
        self.running
            .binary_search_by_key(&request, |running| running.request)
    }
}
