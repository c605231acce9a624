//! The actor that stores deferred requests in the log and passes them to the serving side when they
//! are due.

mod partition;

use core::time::Duration;
use std::rc::Rc;

use actix::{Actor, AsyncContext as _, Context, Handler, Message, ResponseFuture, WrapFuture as _};
use base::{Code, Incarnation, Outcome};
use defer::{
    Record, State, Task, configs,
    record::{Ending, Request},
    scheduler,
    task::PARTITIONS,
};
use flow::Answer;
use tokio::sync::{mpsc, oneshot, watch};

use self::partition::Partition;
use crate::{clock::Clock, view::Members};

/// How often an instance scans its partitions for tasks; also the `Retry-After` of its answers.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of records carried forward in one scan.
const MAX_CARRIES: usize = 32;

/// A task for the serving side.
pub struct Job {
    /// The stored request.
    pub request: Request,
    /// Receives its answer.
    pub answer: oneshot::Sender<Answer>,
}

/// Stores deferred requests and passes them to the serving side when they are due.
pub struct Work {
    environment: Rc<Environment>,
}

/// What the actor's asynchronous tasks share.
struct Environment {
    clock: Clock,
    jobs: mpsc::UnboundedSender<Job>,
    members: watch::Receiver<Members>,
    own: Incarnation,
    partitions: Vec<Partition>,
}

/// Stores a request.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct Accept(pub Request);

/// Requests the status of a task; returns `None` if the log has no such task.
#[derive(Message)]
#[rtype(result = "Option<Answer>")]
pub struct GetStatus(pub Task);

impl Work {
    /// Returns an actor that has not read the log yet.
    pub fn new(
        clock: Clock,
        own: Incarnation,
        platform: &platform::Http,
        members: watch::Receiver<Members>,
        jobs: mpsc::UnboundedSender<Job>,
    ) -> Self {
        let config = configs::Config::default();
        let partitions = (0..PARTITIONS)
            .map(|number| Partition::new(number, platform.clone(), &config))
            .collect();
        Self {
            environment: Rc::new(Environment {
                clock,
                jobs,
                members,
                own,
                partitions,
            }),
        }
    }
}

impl Actor for Work {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        for number in 0..self.environment.partitions.len() {
            context.run_interval(SCAN_INTERVAL, move |actor, context| {
                let scanning = scan(Rc::clone(&actor.environment), number);
                context.spawn(scanning.into_actor(actor));
            });
        }
    }
}

impl Handler<Accept> for Work {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, message: Accept, _: &mut Context<Self>) -> Self::Result {
        let environment = Rc::clone(&self.environment);
        Box::pin(async move { accept(&environment, message.0).await })
    }
}

impl Handler<GetStatus> for Work {
    type Result = ResponseFuture<Option<Answer>>;

    fn handle(&mut self, message: GetStatus, _: &mut Context<Self>) -> Self::Result {
        let environment = Rc::clone(&self.environment);
        Box::pin(async move { environment.partition(&message.0).status(&message.0).await })
    }
}

impl Environment {
    fn partition(&self, task: &Task) -> &Partition {
        &self.partitions[usize::from(task.partition())]
    }
}

/// Stores a request and confirms it only after it has been read back.
async fn accept(environment: &Environment, request: Request) -> Answer {
    let task = request.task();
    let partition = environment.partition(&task);
    if partition.refresh().await.is_err() {
        return refused(Code::LogUnavailable);
    }
    if let Some(answer) = find_answer(partition, &request).await {
        return answer;
    }
    let body = Record::Accepted(request.clone()).to_json();
    if let Err(platform::log::Error::Refused(_)) = partition.append(body).await {
        return refused(Code::LogUnavailable);
    }
    // Even an answered append is confirmed by reading the record back.
    if partition.find(&task).await {
        let found = find_answer(partition, &request).await;
        return found.unwrap_or_else(|| refused(Code::EarlierUnknown));
    }
    refused(Code::EarlierUnknown)
}

/// Returns the answer to a request whose key is in the log already.
async fn find_answer(partition: &Partition, request: &Request) -> Option<Answer> {
    let task = request.task();
    let state = partition.state(&task)?;
    let body = match &state {
        State::Open(open) => open.body,
        State::Ended(ended) => ended.body,
    };
    if body != request.body {
        let detail = "another body came with this key";
        return Some(Answer::refusal(Code::KeyReused, detail));
    }
    match state {
        State::Open(_) => Some(accepted()),
        State::Ended(ended) => Some(partition.answer(&ended).await),
    }
}

/// Scans a partition and executes the actions that are due, if this instance owns it.
async fn scan(environment: Rc<Environment>, number: usize) {
    let partition = &environment.partitions[number];
    let members = environment.members.borrow().clone();
    let is_own = scheduler::owner(&members.names, partition.number) == Some(&environment.own);
    if !is_own || !partition.begin_scan() {
        return;
    }
    if partition.refresh().await.is_ok() {
        let actions = partition.due_actions(scheduler::Context {
            members: &members.names,
            now: environment.clock.tick(),
            own: &environment.own,
            partition: partition.number,
            wall: environment.clock.stamp(),
        });
        let mut carries = 0;
        for action in actions {
            // Remaining carries wait for the next scan, so that starts are not delayed by them.
            carries += usize::from(matches!(action, scheduler::Action::Carry { .. }));
            if carries <= MAX_CARRIES || !matches!(action, scheduler::Action::Carry { .. }) {
                execute(&environment, partition, action).await;
            }
        }
    }
    partition.end_scan();
}

async fn execute(environment: &Rc<Environment>, partition: &Partition, action: scheduler::Action) {
    match action {
        scheduler::Action::Carry { offset, .. } => {
            if let Some(record) = partition.record(offset).await {
                let carried = record.carry(offset, environment.clock.stamp());
                // The next scan shows whether the append took effect.
                let _appended = partition.append(carried.to_json()).await;
            }
        }
        scheduler::Action::Expire { offset, .. } => {
            if let Some(Record::Accepted(request)) = partition.record(offset).await {
                let answer = Answer::refusal(Code::DeadlinePassed, "the deadline passed");
                let _appended = partition
                    .append(ending_record(environment, &request, &answer))
                    .await;
            }
        }
        scheduler::Action::Start { task, offset } => {
            let environment = Rc::clone(environment);
            actix_web::rt::spawn(async move { run(&environment, task, offset).await });
        }
    }
}

/// Runs a task on the serving side and records its outcome.
async fn run(environment: &Environment, task: Task, offset: u64) {
    let partition = environment.partition(&task);
    if let Some(Record::Accepted(request)) = partition.record(offset).await {
        let (sender, receiver) = oneshot::channel();
        let job = Job {
            request: request.clone(),
            answer: sender,
        };
        let sent = environment.jobs.send(job).is_ok();
        if sent && let Ok(answer) = receiver.await {
            finish(environment, partition, &request, &answer).await;
        }
    }
    partition.record_ended(environment.clock.tick(), &task);
}

async fn finish(
    environment: &Environment,
    partition: &Partition,
    request: &Request,
    answer: &Answer,
) {
    // A later attempt may succeed.
    if answer.code != Code::Answered && answer.code.is_retryable() {
        return;
    }
    let body = ending_record(environment, request, answer);
    if partition.append(body).await.is_ok() {
        log::debug!(
            "recorded the answer to a deferred request of pipeline '{}'",
            request.pipeline
        );
    }
}

fn ending_record(environment: &Environment, request: &Request, answer: &Answer) -> String {
    Record::Ended(Ending {
        at: environment.clock.stamp(),
        body: request.body,
        carries: None,
        code: answer.code,
        deadline: request.deadline,
        outcome: answer.outcome,
        output: answer.output.clone(),
        task: request.task(),
    })
    .to_json()
}

fn accepted() -> Answer {
    Answer::refusal(Code::Accepted, "ask for the answer under the key")
        .with_retry_after(SCAN_INTERVAL)
}

fn refused(code: Code) -> Answer {
    let outcome = match code {
        Code::LogUnavailable => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    Answer::refusal(code, code.title())
        .with_outcome(outcome)
        .with_retry_after(SCAN_INTERVAL)
}
