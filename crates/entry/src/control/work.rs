//! The actor that stores deferred requests in the log and sees to it that they are worked on.

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

/// How often an instance looks for tasks.
const LOOK: Duration = Duration::from_secs(1);

/// Records carried forward in one look.
const CARRIES: usize = 32;

/// A task for the serving side.
pub struct Job {
    /// The stored request.
    pub request: Request,
    /// Where its answer goes.
    pub answer: oneshot::Sender<Answer>,
}

/// Stores deferred requests and works on them.
pub struct Work {
    world: Rc<World>,
}

/// What the actor's tasks share.
struct World {
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

/// Asks what became of a task; gives nothing if none is known under the name.
#[derive(Message)]
#[rtype(result = "Option<Answer>")]
pub struct Ask(pub Task);

impl Work {
    /// Returns an actor that has read nothing yet.
    pub fn new(
        clock: Clock,
        own: Incarnation,
        platform: &platform::Http,
        members: watch::Receiver<Members>,
        jobs: mpsc::UnboundedSender<Job>,
    ) -> Self {
        let config = configs::Config::default();
        let partitions = (0..PARTITIONS)
            .map(|number| Partition::open(number, platform.clone(), &config))
            .collect();
        Self {
            world: Rc::new(World {
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
        for number in 0..self.world.partitions.len() {
            context.run_interval(LOOK, move |actor, context| {
                let looking = look(Rc::clone(&actor.world), number);
                context.spawn(looking.into_actor(actor));
            });
        }
    }
}

impl Handler<Accept> for Work {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, message: Accept, _: &mut Context<Self>) -> Self::Result {
        let world = Rc::clone(&self.world);
        Box::pin(async move { accept(&world, message.0).await })
    }
}

impl Handler<Ask> for Work {
    type Result = ResponseFuture<Option<Answer>>;

    fn handle(&mut self, message: Ask, _: &mut Context<Self>) -> Self::Result {
        let world = Rc::clone(&self.world);
        Box::pin(async move { world.of(&message.0).status(&message.0).await })
    }
}

impl World {
    fn of(&self, task: &Task) -> &Partition {
        &self.partitions[usize::from(task.partition())]
    }
}

/// Stores a request and says so only once it was read back.
async fn accept(world: &World, request: Request) -> Answer {
    let task = request.task();
    let partition = world.of(&task);
    if partition.refresh().await.is_err() {
        return refused(Code::LogUnavailable);
    }
    if let Some(answer) = known(partition, &request).await {
        return answer;
    }
    let body = Record::Accepted(request.clone()).to_json();
    if let Err(platform::log::Error::Refused(_)) = partition.append(body).await {
        return refused(Code::LogUnavailable);
    }
    // Whether the append was answered or not, only the log tells that it is there.
    if partition.find(&task).await {
        let found = known(partition, &request).await;
        return found.unwrap_or_else(|| refused(Code::EarlierUnknown));
    }
    refused(Code::EarlierUnknown)
}

/// Answers for a request whose name is in the log already.
async fn known(partition: &Partition, request: &Request) -> Option<Answer> {
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

/// Looks through a partition and does what falls to this instance.
async fn look(world: Rc<World>, number: usize) {
    let partition = &world.partitions[number];
    let members = world.members.borrow().clone();
    let own = scheduler::owner(&members.names, partition.number) == Some(&world.own);
    if !own || !partition.begin_look() {
        return;
    }
    if partition.refresh().await.is_ok() {
        let actions = partition.look(scheduler::Context {
            members: &members.names,
            now: world.clock.tick(),
            own: &world.own,
            partition: partition.number,
            wall: world.clock.stamp(),
        });
        let mut carries = 0;
        for action in actions {
            // Carries that are left wait for the next look, so that starts come in between.
            carries += usize::from(matches!(action, scheduler::Action::Carry { .. }));
            if carries <= CARRIES || !matches!(action, scheduler::Action::Carry { .. }) {
                act(&world, partition, action).await;
            }
        }
    }
    partition.end_look();
}

async fn act(world: &Rc<World>, partition: &Partition, action: scheduler::Action) {
    match action {
        scheduler::Action::Carry { offset, .. } => {
            if let Some(record) = partition.record(offset).await {
                let carried = record.carry(offset, world.clock.stamp());
                // The next look finds out whether it took effect.
                let _appended = partition.append(carried.to_json()).await;
            }
        }
        scheduler::Action::Expire { offset, .. } => {
            if let Some(Record::Accepted(request)) = partition.record(offset).await {
                let answer = Answer::refusal(Code::DeadlinePassed, "the deadline passed");
                let _appended = partition.append(ending(world, &request, &answer)).await;
            }
        }
        scheduler::Action::Start { task, offset } => {
            let world = Rc::clone(world);
            actix_web::rt::spawn(async move { run(&world, task, offset).await });
        }
    }
}

/// Has the serving side work on a task, and records how that ended.
async fn run(world: &World, task: Task, offset: u64) {
    let partition = world.of(&task);
    if let Some(Record::Accepted(request)) = partition.record(offset).await {
        let (sender, receiver) = oneshot::channel();
        let job = Job {
            request: request.clone(),
            answer: sender,
        };
        let sent = world.jobs.send(job).is_ok();
        if sent && let Ok(answer) = receiver.await {
            finish(world, partition, &request, &answer).await;
        }
    }
    partition.ended(world.clock.tick(), &task);
}

async fn finish(world: &World, partition: &Partition, request: &Request, answer: &Answer) {
    // Another attempt may answer what this one could not.
    if answer.code != Code::Answered && answer.code.is_retryable() {
        return;
    }
    let body = ending(world, request, answer);
    if partition.append(body).await.is_ok() {
        log::debug!("a deferred request of '{}' ended", request.pipeline);
    }
}

fn ending(world: &World, request: &Request, answer: &Answer) -> String {
    Record::Ended(Ending {
        at: world.clock.stamp(),
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
    Answer::refusal(Code::Accepted, "ask for the answer under the key").with_retry_after(LOOK)
}

fn refused(code: Code) -> Answer {
    let outcome = match code {
        Code::LogUnavailable => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    Answer::refusal(code, code.title())
        .with_outcome(outcome)
        .with_retry_after(LOOK)
}
