//! The actor that owns ledger partitions and talks to the log for them.

use core::time::Duration;
use std::{rc::Rc, sync::Arc};

use actix::{
    Actor, ActorFutureExt as _, AsyncContext as _, Context, Handler, Message, ResponseFuture,
    SpawnHandle, WrapFuture as _,
};
use base::Incarnation;
use ledger::{
    configs,
    owner::{Action, Event, Owner, Token, Verdict},
    partition,
    record::Record,
    slot::Slot,
};
use member::rendezvous;
use platform::{Log as _, log};
use tokio::sync::{oneshot, watch};

use crate::{
    clock::Clock,
    control::{lines::Lines, peers},
    metrics::Metrics,
    view::Members,
};

/// Records read from the log at once.
const READ_RECORDS: usize = 500;

/// Owns partitions, each opened when it is first needed.
///
/// Records and look-ups go to the instance of the failure domain that owns their partition, so that
/// they are appended in batches and few instances read a partition. Where that instance cannot be
/// reached, this one takes its place: two owners of a partition are safe.
pub struct Ledger {
    clock: Clock,
    lines: Lines,
    members: watch::Receiver<Members>,
    own: Incarnation,
    metrics: Arc<Metrics>,
    next_token: Token,
    owners: Vec<Option<Owner>>,
    platform: platform::Http,
    waiting: Vec<(Token, oneshot::Sender<Verdict>)>,
    wakes: Vec<Option<SpawnHandle>>,
}

/// Hands a record to the log and gives the verdict on it.
#[derive(Message)]
#[rtype(result = "Verdict")]
pub struct Submit(pub Record);

/// Asks for the state of a slot.
#[derive(Message)]
#[rtype(result = "Verdict")]
pub struct Lookup(pub Slot);

/// Hands a record to the log from this instance, whoever owns its partition.
#[derive(Message)]
#[rtype(result = "Verdict")]
pub struct SubmitHere(pub Record);

/// Asks this instance for the state of a slot, whoever owns its partition.
#[derive(Message)]
#[rtype(result = "Verdict")]
pub struct LookupHere(pub Slot);

impl Ledger {
    /// Returns an actor that owns nothing yet.
    pub(crate) fn new(
        clock: Clock,
        metrics: Arc<Metrics>,
        platform: platform::Http,
        own: Incarnation,
        members: watch::Receiver<Members>,
        lines: Lines,
    ) -> Self {
        let count = usize::from(partition::PARTITIONS);
        Self {
            clock,
            lines,
            members,
            own,
            metrics,
            next_token: 0,
            owners: (0..count).map(|_| None).collect(),
            platform,
            waiting: Vec::new(),
            wakes: vec![None; count],
        }
    }

    /// Returns the connection to the peer that owns a partition; none where this instance does.
    fn owner(&self, partition: u16) -> Option<Rc<peer::Client>> {
        let members = self.members.borrow();
        let key = partition::stream_name(partition);
        let owner = rendezvous::owner(&members.names, key.as_bytes())?;
        if *owner == self.own {
            return None;
        }
        self.lines.to(members.address(owner)?)
    }

    fn ask(
        &mut self,
        partition: u16,
        event: impl FnOnce(Token) -> Event,
        context: &mut Context<Self>,
    ) -> ResponseFuture<Verdict> {
        self.next_token += 1;
        let token = self.next_token;
        let (sender, receiver) = oneshot::channel();
        self.waiting.push((token, sender));
        self.on(partition, event(token), context);
        Box::pin(async move { receiver.await.unwrap_or(Verdict::UNANSWERED) })
    }

    fn submit(&mut self, record: Record, context: &mut Context<Self>) -> ResponseFuture<Verdict> {
        let partition = partition::for_slot(record.slot());
        self.ask(partition, |token| Event::Submit { token, record }, context)
    }

    fn lookup(&mut self, slot: Slot, context: &mut Context<Self>) -> ResponseFuture<Verdict> {
        let partition = partition::for_slot(&slot);
        self.ask(partition, |token| Event::Lookup { token, slot }, context)
    }

    fn on(&mut self, partition: u16, event: Event, context: &mut Context<Self>) {
        let now = self.clock.now();
        let owner = self.owners[usize::from(partition)]
            .get_or_insert_with(|| Owner::new(configs::Owner::default(), partition, None));
        for action in owner.handle(now, event) {
            self.act(partition, action, context);
        }
        self.set_wake(partition, context);
    }

    fn act(&mut self, partition: u16, action: Action, context: &mut Context<Self>) {
        match action {
            Action::Append { stream, body } => self.append(partition, stream, body, context),
            Action::Read { stream, from } => self.read(partition, stream, from, context),
            Action::Reply { token, verdict } => self.reply(token, verdict),
        }
    }

    fn append(&self, partition: u16, stream: String, body: String, context: &mut Context<Self>) {
        self.metrics.ledger_appends.inc();
        let platform = self.platform.clone();
        let appending = async move {
            match platform.append(&stream, body).await {
                Ok(offset) => Event::Appended { offset },
                Err(log::Error::Refused(_)) => Event::AppendRefused,
                Err(log::Error::Unanswered(_)) => Event::AppendUnanswered,
            }
        };
        let done = appending
            .into_actor(self)
            .map(move |event, actor, context| actor.on(partition, event, context));
        context.spawn(done);
    }

    fn read(&self, partition: u16, stream: String, from: u64, context: &mut Context<Self>) {
        self.metrics.ledger_reads.inc();
        let platform = self.platform.clone();
        let reading = async move {
            let Ok(page) = platform.read(&stream, from, READ_RECORDS).await else {
                return Event::ReadFailed;
            };
            Event::Page {
                first: page.first,
                end: page.end,
                records: page
                    .records
                    .into_iter()
                    .map(|record| (record.offset, record.body))
                    .collect(),
            }
        };
        let done = reading
            .into_actor(self)
            .map(move |event, actor, context| actor.on(partition, event, context));
        context.spawn(done);
    }

    fn reply(&mut self, token: Token, verdict: Verdict) {
        let Ok(at) = self
            .waiting
            .binary_search_by_key(&token, |(token, _)| *token)
        else {
            return;
        };
        let (_, sender) = self.waiting.remove(at);
        // Whoever asked may have gone.
        let _gone = sender.send(verdict);
    }

    fn set_wake(&mut self, partition: u16, context: &mut Context<Self>) {
        let at = usize::from(partition);
        if let Some(wake) = self.wakes[at].take() {
            context.cancel_future(wake);
        }
        let Some(tick) = self.owners[at].as_ref().and_then(Owner::next_wakeup) else {
            return;
        };
        let wait = (tick - self.clock.tick()).max(Duration::from_millis(1));
        let wake = context.run_later(wait, move |actor, context| {
            actor.wakes[at] = None;
            actor.on(partition, Event::Tick, context);
        });
        self.wakes[at] = Some(wake);
    }
}

impl Actor for Ledger {
    type Context = Context<Self>;
}

impl Handler<Submit> for Ledger {
    type Result = ResponseFuture<Verdict>;

    fn handle(&mut self, message: Submit, context: &mut Context<Self>) -> Self::Result {
        let Submit(record) = message;
        let Some(owner) = self.owner(partition::for_slot(record.slot())) else {
            return self.submit(record, context);
        };
        let own = context.address();
        Box::pin(async move {
            if let Ok(verdict) = submit_to(&owner, &record).await {
                return verdict;
            }
            // Whether the owner took the record or not, its nonce lets it count once.
            let verdict = own.send(SubmitHere(record)).await;
            verdict.map_or(Verdict::UNANSWERED, Verdict::after_resend)
        })
    }
}

impl Handler<SubmitHere> for Ledger {
    type Result = ResponseFuture<Verdict>;

    fn handle(&mut self, message: SubmitHere, context: &mut Context<Self>) -> Self::Result {
        self.submit(message.0, context)
    }
}

impl Handler<LookupHere> for Ledger {
    type Result = ResponseFuture<Verdict>;

    fn handle(&mut self, message: LookupHere, context: &mut Context<Self>) -> Self::Result {
        self.lookup(message.0, context)
    }
}

impl Handler<Lookup> for Ledger {
    type Result = ResponseFuture<Verdict>;

    fn handle(&mut self, message: Lookup, context: &mut Context<Self>) -> Self::Result {
        let Lookup(slot) = message;
        let Some(owner) = self.owner(partition::for_slot(&slot)) else {
            return self.lookup(slot, context);
        };
        let own = context.address();
        Box::pin(async move {
            if let Ok(verdict) = lookup_at(&owner, slot).await {
                return verdict;
            }
            own.send(LookupHere(slot))
                .await
                .unwrap_or(Verdict::UNANSWERED)
        })
    }
}

async fn submit_to(owner: &peer::Client, record: &Record) -> Result<Verdict, peer::Error> {
    let batch = wire::Batch {
        partition: u32::from(partition::for_slot(record.slot())),
        records: vec![wire::Record {
            token: 0,
            json: peers::json(record)?,
        }],
    };
    verdict(owner.submit(batch).await?)
}

async fn lookup_at(owner: &peer::Client, slot: Slot) -> Result<Verdict, peer::Error> {
    let slots = wire::Slots {
        partition: u32::from(partition::for_slot(&slot)),
        slots: vec![wire::Slot {
            token: 0,
            json: peers::json(&slot)?,
        }],
    };
    verdict(owner.lookup(slots).await?)
}

fn verdict(told: wire::Verdicts) -> Result<Verdict, peer::Error> {
    let first = told.verdicts.first();
    let first = first.ok_or(peer::Error::Malformed("no verdict"))?;
    peers::parse(&first.json)
}
