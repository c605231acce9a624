//! The actor that owns ledger partitions and reads and appends their log streams.

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
    control::{connections::Connections, peers},
    metrics::Metrics,
    view::Members,
};

/// The maximum number of records in one read of the log.
const MAX_READ_RECORDS: usize = 500;

/// Owns partitions, each created when it is first needed.
///
/// Records and lookups go to the instance of the failure domain that owns their partition, so that
/// records are appended in batches and few instances read a partition. If the owner is unreachable,
/// this instance acts as the owner: two owners of a partition are safe.
pub struct Ledger {
    clock: Clock,
    connections: Connections,
    members: watch::Receiver<Members>,
    own: Incarnation,
    metrics: Arc<Metrics>,
    next_token: Token,
    owners: Vec<Option<Owner>>,
    platform: platform::Http,
    callers: Vec<(Token, oneshot::Sender<Verdict>)>,
    wakeups: Vec<Option<SpawnHandle>>,
}

/// Submits a record to the owner of its partition and returns the verdict.
#[derive(Message)]
#[rtype(result = "Verdict")]
pub struct Submit(pub Record);

/// Requests the state of a slot from the owner of its partition.
#[derive(Message)]
#[rtype(result = "Verdict")]
pub struct Lookup(pub Slot);

/// Submits a record from this instance, regardless of which instance owns the partition.
#[derive(Message)]
#[rtype(result = "Verdict")]
pub struct SubmitHere(pub Record);

/// Requests the state of a slot from this instance, regardless of which instance owns the partition.
#[derive(Message)]
#[rtype(result = "Verdict")]
pub struct LookupHere(pub Slot);

impl Ledger {
    /// Returns an actor that owns no partition yet.
    pub(crate) fn new(
        clock: Clock,
        metrics: Arc<Metrics>,
        platform: platform::Http,
        own: Incarnation,
        members: watch::Receiver<Members>,
        connections: Connections,
    ) -> Self {
        let count = usize::from(partition::PARTITIONS);
        Self {
            clock,
            connections,
            members,
            own,
            metrics,
            next_token: 0,
            owners: (0..count).map(|_| None).collect(),
            platform,
            callers: Vec::new(),
            wakeups: vec![None; count],
        }
    }

    /// Returns the connection to the peer that owns a partition, or `None` if this instance does.
    fn owner_connection(&self, partition: u16) -> Option<Rc<peer::Client>> {
        let members = self.members.borrow();
        let key = partition::stream_name(partition);
        let owner = rendezvous::owner(&members.names, key.as_bytes())?;
        if *owner == self.own {
            return None;
        }
        self.connections.get_or_open(members.address(owner)?)
    }

    fn request(
        &mut self,
        partition: u16,
        event: impl FnOnce(Token) -> Event,
        context: &mut Context<Self>,
    ) -> ResponseFuture<Verdict> {
        self.next_token += 1;
        let token = self.next_token;
        let (sender, receiver) = oneshot::channel();
        self.callers.push((token, sender));
        self.handle(partition, event(token), context);
        Box::pin(async move { receiver.await.unwrap_or(Verdict::UNANSWERED) })
    }

    fn submit(&mut self, record: Record, context: &mut Context<Self>) -> ResponseFuture<Verdict> {
        let partition = partition::for_slot(record.slot());
        self.request(partition, |token| Event::Submit { token, record }, context)
    }

    fn lookup(&mut self, slot: Slot, context: &mut Context<Self>) -> ResponseFuture<Verdict> {
        let partition = partition::for_slot(&slot);
        self.request(partition, |token| Event::Lookup { token, slot }, context)
    }

    fn handle(&mut self, partition: u16, event: Event, context: &mut Context<Self>) {
        let now = self.clock.now();
        let owner = self.owners[usize::from(partition)]
            .get_or_insert_with(|| Owner::new(configs::Owner::default(), partition, None));
        for action in owner.handle(now, event) {
            self.execute(partition, action, context);
        }
        self.schedule_wakeup(partition, context);
    }

    fn execute(&mut self, partition: u16, action: Action, context: &mut Context<Self>) {
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
            .map(move |event, actor, context| actor.handle(partition, event, context));
        context.spawn(done);
    }

    fn read(&self, partition: u16, stream: String, from: u64, context: &mut Context<Self>) {
        self.metrics.ledger_reads.inc();
        let platform = self.platform.clone();
        let reading = async move {
            let Ok(page) = platform.read(&stream, from, MAX_READ_RECORDS).await else {
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
            .map(move |event, actor, context| actor.handle(partition, event, context));
        context.spawn(done);
    }

    fn reply(&mut self, token: Token, verdict: Verdict) {
        let Ok(at) = self
            .callers
            .binary_search_by_key(&token, |(token, _)| *token)
        else {
            return;
        };
        let (_, sender) = self.callers.remove(at);
        // The caller may have been dropped.
        let _dropped = sender.send(verdict);
    }

    fn schedule_wakeup(&mut self, partition: u16, context: &mut Context<Self>) {
        let at = usize::from(partition);
        if let Some(wakeup) = self.wakeups[at].take() {
            context.cancel_future(wakeup);
        }
        let Some(tick) = self.owners[at].as_ref().and_then(Owner::next_wakeup) else {
            return;
        };
        let wait = (tick - self.clock.tick()).max(Duration::from_millis(1));
        let wakeup = context.run_later(wait, move |actor, context| {
            actor.wakeups[at] = None;
            actor.handle(partition, Event::Tick, context);
        });
        self.wakeups[at] = Some(wakeup);
    }
}

impl Actor for Ledger {
    type Context = Context<Self>;
}

impl Handler<Submit> for Ledger {
    type Result = ResponseFuture<Verdict>;

    fn handle(&mut self, message: Submit, context: &mut Context<Self>) -> Self::Result {
        let Submit(record) = message;
        let Some(owner) = self.owner_connection(partition::for_slot(record.slot())) else {
            return self.submit(record, context);
        };
        let own = context.address();
        Box::pin(async move {
            if let Ok(verdict) = submit_to(&owner, &record).await {
                return verdict;
            }
            // The owner may have appended the record, but its nonce makes it count only once.
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
        let Some(owner) = self.owner_connection(partition::for_slot(&slot)) else {
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
            json: peers::to_json(record)?,
        }],
    };
    parse_verdict(owner.submit(batch).await?)
}

async fn lookup_at(owner: &peer::Client, slot: Slot) -> Result<Verdict, peer::Error> {
    let slots = wire::Slots {
        partition: u32::from(partition::for_slot(&slot)),
        slots: vec![wire::Slot {
            token: 0,
            json: peers::to_json(&slot)?,
        }],
    };
    parse_verdict(owner.lookup(slots).await?)
}

fn parse_verdict(reply: wire::Verdicts) -> Result<Verdict, peer::Error> {
    let first = reply.verdicts.first();
    let first = first.ok_or(peer::Error::Malformed("no verdict"))?;
    peers::parse(&first.json)
}
