//! The admission controller of one entry instance.

mod order;
mod refusal;

use core::time::Duration;

use base::{Code, Name, Tick, request::Id};

use crate::{
    account::Accounts,
    backoff::Backoff,
    configs::Config,
    estimate::Pipeline,
    event::{Action, Context, Event, Request, Verdict},
    pool::Pool,
    queue::{Class, Entry, Queue},
};

/// A request that has started and not ended yet.
#[derive(Clone, Debug)]
struct Running {
    request: Id,
    pipeline: Name,
    account: Name,
    /// The index of the first stage that has not finished.
    stage: usize,
    estimated_cost: f64,
}

/// The admission controller of one entry instance.
///
/// # Examples
///
/// ```
/// use admit::{Context, Controller, Request, Verdict};
/// use base::{Tick, request::Id};
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut controller = Controller::default();
/// controller.set_pipeline(&"draft".into(), &["runners".into()]);
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut cx = Context { now: Tick::default(), rng: &mut rng };
/// let request = Request {
///     id: Id::from_random(1),
///     account: "press".into(),
///     pipeline: "draft".into(),
///     priority: 0,
///     deadline: Tick::from_millis(5_000),
///     issued_at: Tick::default(),
/// };
/// assert_eq!(controller.offer(&mut cx, request), Verdict::Start);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Controller {
    config: Config,
    accounts: Accounts,
    /// Sorted by class; none is empty.
    queues: Vec<Queue>,
    pipelines: Vec<Pipeline>,
    pools: Vec<Pool>,
    backoff: Backoff,
    /// Sorted by request.
    running: Vec<Running>,
    /// Number of requests started so far.
    starts: u64,
    /// Number of waiting requests, not counting background requests.
    waiting: usize,
    waiting_background: usize,
}

impl Controller {
    /// Creates a controller without accounts, pipelines and pools.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Sets the weight of a client account.
    pub fn set_account(&mut self, name: &Name, weight: u32) {
        self.accounts.set_weight(name, weight);
    }

    /// Sets the pools of a pipeline's stages.
    pub fn set_pipeline(&mut self, name: &Name, pools: &[Name]) {
        match self.find_pipeline(name) {
            Ok(at) => self.pipelines[at].set_pools(pools),
            Err(at) => self
                .pipelines
                .insert(at, Pipeline::new(name.clone(), pools)),
        }
        for pool in pools {
            self.pool(pool);
        }
    }

    /// Returns the number of waiting requests.
    pub const fn waiting(&self) -> usize {
        self.waiting + self.waiting_background
    }

    /// Returns the number of requests that have started and not ended yet.
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the estimated time for the stages of a pipeline from the given one on, including the safety
    /// margin.
    pub fn required_time(&self, now: Tick, pipeline: &Name, from: usize) -> Duration {
        self.find_pipeline(pipeline).map_or(Duration::ZERO, |at| {
            self.pipelines[at].required_time(&self.config.estimate, now, from)
        })
    }

    /// Decides whether a new request starts, waits or is refused.
    ///
    /// - It is refused if its deadline can't be met, a pool of its stages is down or the queue is full.
    /// - It starts if every pool of its stages has capacity and no waiting request precedes it.
    /// - Otherwise it waits.
    pub fn offer(&mut self, cx: &mut Context<'_>, request: Request) -> Verdict {
        let Ok(at) = self.find_pipeline(&request.pipeline) else {
            return Verdict::Refused(self.refuse(
                cx,
                Code::PipelineUnknown,
                Duration::ZERO,
                None,
                Duration::ZERO,
            ));
        };
        let class = self.class_of(&request);
        if let Some(refusal) = self.check(cx, &request, &class, at) {
            return Verdict::Refused(refusal);
        }
        let id = request.id;
        self.enqueue(cx.now, &request, class);
        if self.start_if_next(cx.now, Some(id)) {
            return Verdict::Start;
        }
        Verdict::Queued
    }

    /// Handles an event and returns the actions on waiting requests.
    pub fn handle(&mut self, cx: &mut Context<'_>, event: Event) -> Vec<Action> {
        match event {
            Event::StageFinished {
                request,
                stage,
                elapsed,
            } => self.stage_finished(cx.now, request, stage, elapsed),
            Event::Finished { request, cost } => self.finished(request, cost),
            Event::Cancelled { request } => self.cancelled(request),
            Event::Capacity {
                pool,
                slots,
                retry_after,
            } => {
                let pool = self.pool(&pool);
                pool.slots = Some(slots);
                pool.retry_after = retry_after;
            }
        }
        self.start_ready(cx)
    }

    /// Refuses waiting requests that can no longer meet their deadline, and starts those that are next.
    pub fn tick(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = self.refuse_expired(cx);
        actions.extend(self.start_ready(cx));
        actions
    }

    fn class_of(&self, request: &Request) -> Class {
        Class {
            pipeline: request.pipeline.clone(),
            account: request.account.clone(),
            priority: request.priority,
            background: request.deadline - request.issued_at
                >= self.config.queue.background_deadline,
        }
    }

    fn enqueue(&mut self, now: Tick, request: &Request, class: Class) {
        self.accounts.record_queued(&class.account);
        if class.background {
            self.waiting_background += 1;
        } else {
            self.waiting += 1;
        }
        let entry = Entry {
            request: request.id,
            effective_deadline: refusal::effective_deadline(now, request),
            deadline: request.deadline,
            issued_at: request.issued_at,
        };
        let at = match self
            .queues
            .binary_search_by(|queue| queue.class.cmp(&class))
        {
            Ok(at) => at,
            Err(at) => {
                self.queues.insert(at, Queue::new(class));
                at
            }
        };
        self.queues[at].insert(entry);
    }

    fn start_ready(&mut self, cx: &Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(request) = self.start_next(cx.now) {
            actions.push(Action::Start(request));
        }
        actions
    }

    /// Starts the next request only if it is the wanted one; `None` stands for any request.
    fn start_if_next(&mut self, now: Tick, wanted: Option<Id>) -> bool {
        let Some((queue, entry)) = self.select(now) else {
            return false;
        };
        if wanted.is_some_and(|wanted| self.queues[queue].entries[entry].request != wanted) {
            return false;
        }
        self.start(queue, entry);
        true
    }

    fn start_next(&mut self, now: Tick) -> Option<Id> {
        let (queue, entry) = self.select(now)?;
        Some(self.start(queue, entry))
    }

    fn start(&mut self, queue: usize, entry: usize) -> Id {
        let class = self.queues[queue].class.clone();
        let request = self.remove(queue, entry);
        self.starts += 1;
        let at = self.find_pipeline(&class.pipeline);
        let estimated_cost = at.map_or(0.0, |at| self.pipelines[at].cost.mean());
        self.accounts.record_started(&class.account, estimated_cost);
        self.add_pending(&class.pipeline, 0, 1);
        let running = Running {
            request,
            pipeline: class.pipeline,
            account: class.account,
            stage: 0,
            estimated_cost,
        };
        if let Err(at) = self.find_running(request) {
            self.running.insert(at, running);
        }
        request
    }

    /// Removes a waiting request, and its queue if that becomes empty.
    fn remove(&mut self, queue: usize, entry: usize) -> Id {
        let removed = self.queues[queue].entries.remove(entry);
        let class = self.queues[queue].class.clone();
        self.accounts.record_dequeued(&class.account);
        if class.background {
            self.waiting_background -= 1;
        } else {
            self.waiting -= 1;
        }
        if self.queues[queue].entries.is_empty() {
            self.queues.remove(queue);
        }
        removed.request
    }

    fn refuse_expired(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for queue in (0..self.queues.len()).rev() {
            let Ok(at) = self.find_pipeline(&self.queues[queue].class.pipeline) else {
                continue;
            };
            let required = self.pipelines[at].required_time(&self.config.estimate, cx.now, 0);
            let rate = self.throughput(cx.now, at);
            for entry in (0..self.queues[queue].entries.len()).rev() {
                if cx.now + required <= self.queues[queue].entries[entry].deadline {
                    continue;
                }
                let time_left = self.queues[queue].entries[entry].deadline - cx.now;
                let slack = time_left.saturating_sub(self.pipelines[at].baseline());
                let request = self.remove(queue, entry);
                let refusal = self.refuse(cx, Code::DeadlineUnmeetable, required, rate, slack);
                actions.push(Action::Refuse(request, refusal));
            }
        }
        actions
    }

    fn stage_finished(&mut self, now: Tick, request: Id, stage: usize, elapsed: Duration) {
        let Ok(at) = self.find_running(request) else {
            return;
        };
        let name = self.running[at].pipeline.clone();
        if let Ok(at) = self.find_pipeline(&name) {
            self.record_stage_time(now, at, stage, elapsed);
        }
        if stage == self.running[at].stage {
            self.running[at].stage += 1;
            self.complete_stage(&name, stage);
        }
    }

    /// Records a measured stage time for every pipeline with a stage at the same pool.
    fn record_stage_time(&mut self, now: Tick, pipeline: usize, stage: usize, elapsed: Duration) {
        let config = &self.config.estimate;
        let Some(slowdown) = self.pipelines[pipeline].record_stage_time(config, stage, elapsed)
        else {
            return;
        };
        let pool = self.pipelines[pipeline].stages[stage].pool.clone();
        for pipeline in &mut self.pipelines {
            pipeline.record_slowdown(config, now, &pool, slowdown);
        }
    }

    fn finished(&mut self, request: Id, cost: f64) {
        let Ok(at) = self.find_running(request) else {
            return;
        };
        let running = self.running.remove(at);
        self.add_pending(&running.pipeline, running.stage, -1);
        self.accounts
            .record_finished(&running.account, running.estimated_cost, cost);
        if let Ok(at) = self.find_pipeline(&running.pipeline) {
            let weight = self.config.estimate.sample_weight;
            self.pipelines[at].cost.record(weight, cost);
        }
    }

    fn cancelled(&mut self, request: Id) {
        let found = self.queues.iter().enumerate().find_map(|(at, queue)| {
            let entry = queue
                .entries
                .iter()
                .position(|entry| entry.request == request)?;
            Some((at, entry))
        });
        if let Some((queue, entry)) = found {
            self.remove(queue, entry);
        }
    }

    /// Adds to the number of pending requests at the stages of a pipeline from the given one on.
    fn add_pending(&mut self, pipeline: &Name, from: usize, by: isize) {
        let Ok(at) = self.find_pipeline(pipeline) else {
            return;
        };
        for stage in self.pipelines[at].stages.iter_mut().skip(from) {
            stage.pending = stage.pending.saturating_add_signed(by);
        }
    }

    /// Records that a request has passed a stage of a pipeline.
    fn complete_stage(&mut self, pipeline: &Name, stage: usize) {
        let Ok(at) = self.find_pipeline(pipeline) else {
            return;
        };
        if let Some(stage) = self.pipelines[at].stages.get_mut(stage) {
            stage.pending = stage.pending.saturating_sub(1);
        }
    }

    /// Returns a pool, and adds it without a known limit if it is missing.
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
