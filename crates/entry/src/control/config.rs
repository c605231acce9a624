//! The actor that reads the configuration from the platform's log.

use core::time::Duration;
use std::sync::Arc;

use actix::{
    Actor, ActorFutureExt as _, Addr, AsyncContext as _, Context, Handler, Message, WrapFuture as _,
};
use base::{Digest, Name, Tick};
use bundle::{Position, Proof, Record, projection::Projection};
use member::{Fact, fact};
use platform::{Log as _, log::Page};
use tokio::sync::watch;

use crate::{
    clock::Clock,
    control::{
        connections::Connections,
        roster::{Publish, Roster},
    },
    metrics::Metrics,
    view::InForce,
};

/// The stream of the log that holds configuration.
pub const STREAM: &str = "config";

/// The maximum number of records in one read of the log.
const MAX_READ_RECORDS: usize = 100;

/// Each instance checks whether a `Carry` is due after a random wait of up to the carry age divided by
/// this.
const CARRY_CHECK_DIVISOR: u32 = 48;

/// Keeps the configuration in force up to date.
pub struct Config {
    is_fetching: bool,
    projection: Projection,
    published_digest: Option<Digest>,
    /// The number of records requested in the next read.
    read_records: usize,
    /// Publishes the configuration in force to the peers.
    roster: Option<Addr<Roster>>,
    environment: Environment,
}

/// What the actor gets from its instance.
pub(crate) struct Environment {
    /// The age of the last `Carry` at which another one is due; well below the log's retention.
    pub(crate) carry_age: Duration,
    pub(crate) clock: Clock,
    /// Receives the configuration in force.
    pub(crate) in_force: watch::Sender<InForce>,
    pub(crate) connections: Connections,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) platform: platform::Http,
    pub(crate) poll_interval: Duration,
    /// Receives the position in the log of the configuration in force.
    pub(crate) position: watch::Sender<Option<Position>>,
    /// Receives the time at which the log was last read to its end.
    pub(crate) read_at: watch::Sender<Option<Tick>>,
    pub(crate) root_keys: Vec<Digest>,
}

impl Config {
    /// Returns an actor without a configuration.
    pub(crate) fn new(environment: Environment) -> Self {
        Self {
            is_fetching: false,
            projection: Projection::new(environment.root_keys.clone()),
            published_digest: None,
            read_records: MAX_READ_RECORDS,
            roster: None,
            environment,
        }
    }

    fn read(&self, context: &mut Context<Self>) {
        let platform = self.environment.platform.clone();
        let from = self.projection.next();
        let records = self.read_records;
        let reading = async move { platform.read(STREAM, from, records).await };
        let done = reading.into_actor(self).map(|page, actor, context| {
            let is_behind = match page {
                Ok(page) => {
                    actor.read_records = MAX_READ_RECORDS;
                    actor.apply(&page)
                }
                Err(_) => {
                    // A page of large records may exceed the size limit of an answer, so the next read
                    // requests fewer records.
                    actor.read_records = (actor.read_records / 2).max(1);
                    let failures = &actor.environment.metrics.platform_failures;
                    failures.with_label_values(&["config"]).inc();
                    false
                }
            };
            let wait = if is_behind {
                Duration::ZERO
            } else {
                actor.environment.poll_interval
            };
            context.run_later(wait, |actor, context| actor.read(context));
        });
        context.spawn(done);
    }

    /// Applies a page and returns whether the log has more records.
    fn apply(&mut self, page: &Page) -> bool {
        self.projection.skip_to(page.first);
        for record in &page.records {
            self.projection.apply_text(record.offset, &record.body);
        }
        let is_behind = !page.records.is_empty() && self.projection.next() < page.end;
        // Nothing is published before the end of the log: earlier configurations are outdated.
        if !is_behind {
            self.environment
                .read_at
                .send_replace(Some(self.environment.clock.tick()));
            self.publish();
        }
        is_behind
    }

    fn publish(&mut self) {
        let Some(position) = self.projection.position() else {
            return;
        };
        if self.published_digest == Some(position.digest) {
            return;
        }
        let bundle = match self.projection.document().map(|document| document.bundle()) {
            Some(Ok(bundle)) => bundle,
            Some(Err(error)) => {
                log::error!(
                    "cannot parse the configuration at offset {}: {error}",
                    position.offset
                );
                self.published_digest = Some(position.digest);
                return;
            }
            None => return,
        };
        log::info!(
            "configuration in force: '{}' version {} at offset {}",
            bundle.name,
            bundle.version,
            position.offset,
        );
        let offset = i64::try_from(position.offset).unwrap_or(i64::MAX);
        self.environment.metrics.bundle_offset.set(offset);
        self.published_digest = Some(position.digest);
        if let Some(roster) = &self.roster {
            roster.do_send(Publish(Fact::Position(fact::Position {
                offset: position.offset,
                digest: position.digest,
            })));
        }
        self.environment.position.send_replace(Some(position));
        self.environment
            .in_force
            .send_replace(Some(Arc::new(bundle)));
    }
}

impl Config {
    /// Carries the configuration in force forward before the log drops its records.
    ///
    /// Each instance checks at a random time, so that usually only one of them appends a `Carry`; a
    /// second one is harmless.
    fn schedule_carry(&self, context: &mut Context<Self>) {
        let wait =
            rand::random_range(Duration::ZERO..self.environment.carry_age / CARRY_CHECK_DIVISOR);
        context.run_later(wait, |actor, context| {
            if let Some(carry) = actor
                .projection
                .carry(actor.environment.clock.stamp(), actor.environment.carry_age)
            {
                actor.append(Record::Carry(Box::new(carry)), context);
            }
            actor.schedule_carry(context);
        });
    }

    fn append(&self, record: Record, context: &mut Context<Self>) {
        let platform = self.environment.platform.clone();
        let appending = async move { platform.append(STREAM, record.to_json()).await };
        let done = appending.into_actor(self).map(|appended, actor, _| {
            if appended.is_err() {
                // The next read shows whether the append took effect.
                let failures = &actor.environment.metrics.platform_failures;
                failures.with_label_values(&["config"]).inc();
            }
        });
        context.spawn(done);
    }
}

/// Requests the proof of the configuration in force.
#[derive(Message)]
#[rtype(result = "Option<Proof>")]
pub(crate) struct GetProof;

/// Sets the actor that publishes the configuration in force to the peers.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SetRoster(pub(crate) Addr<Roster>);

impl Handler<SetRoster> for Config {
    type Result = ();

    fn handle(&mut self, message: SetRoster, _: &mut Context<Self>) {
        self.roster = Some(message.0);
    }
}

/// The position of the configuration that is in force at a peer.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct PeerPosition {
    /// The address at which the peer accepts messages.
    pub(crate) address: Name,
    /// The position and digest of its configuration.
    pub(crate) position: fact::Position,
}

impl Handler<GetProof> for Config {
    type Result = Option<Proof>;

    fn handle(&mut self, _: GetProof, _: &mut Context<Self>) -> Self::Result {
        self.projection.proof()
    }
}

impl Handler<PeerPosition> for Config {
    type Result = ();

    /// Fetches a peer's configuration if it may be newer. This matters only while the log cannot be
    /// read.
    fn handle(&mut self, message: PeerPosition, context: &mut Context<Self>) {
        let known = self.projection.position();
        let is_newer = known.is_none_or(|known| {
            message.position.offset > known.offset && message.position.digest != known.digest
        });
        let is_newer = is_newer || !self.projection.is_synced();
        if !is_newer || self.is_fetching {
            return;
        }
        let Some(connection) = self.environment.connections.get_or_open(&message.address) else {
            return;
        };
        self.is_fetching = true;
        let fetching = async move { fetch_proof(&connection).await };
        let done = fetching.into_actor(self).map(|proof, actor, _| {
            actor.is_fetching = false;
            // A proof is applied only if its signatures and its position in the log order are valid.
            if let Some(proof) = proof
                && actor.projection.apply_proof(&proof).is_ok()
            {
                actor.publish();
            }
        });
        context.spawn(done);
    }
}

async fn fetch_proof(connection: &peer::Client) -> Option<Proof> {
    let proof = connection.fetch(wire::Want::default()).await.ok()?;
    serde_json::from_slice(&proof.content).ok()
}

impl Actor for Config {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.read(context);
        self.schedule_carry(context);
    }
}
