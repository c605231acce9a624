//! The actor that follows the configuration in the platform's log.

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
        lines::Lines,
        roster::{Publish, Roster},
    },
    metrics::Metrics,
    view::Force,
};

/// The stream of the log that holds configuration.
pub const STREAM: &str = "config";

/// Records read from the log at once.
const READ_RECORDS: usize = 100;

/// Instances spread their looks at whether a `Carry` is due over this part of its age.
const CARRY_LOOKS: u32 = 48;

/// Follows the configuration.
pub struct Config {
    fetching: bool,
    projection: Projection,
    published: Option<Digest>,
    /// Records asked for at once.
    records: usize,
    /// Told of the configuration in force, for the peers.
    roster: Option<Addr<Roster>>,
    world: World,
}

/// What following the configuration needs of its instance.
pub(crate) struct World {
    /// The age of the last `Carry` at which another one is due; well below the log's retention.
    pub(crate) carry: Duration,
    pub(crate) clock: Clock,
    /// Where to publish the configuration in force.
    pub(crate) force: watch::Sender<Force>,
    pub(crate) lines: Lines,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) platform: platform::Http,
    pub(crate) poll: Duration,
    /// Where to publish the place of the configuration in force.
    pub(crate) position: watch::Sender<Option<Position>>,
    /// Where to publish when the log was last read to its end.
    pub(crate) read: watch::Sender<Option<Tick>>,
    pub(crate) root_keys: Vec<Digest>,
}

impl Config {
    /// Returns an actor that knows no configuration yet.
    pub(crate) fn new(world: World) -> Self {
        Self {
            fetching: false,
            projection: Projection::new(world.root_keys.clone()),
            published: None,
            records: READ_RECORDS,
            roster: None,
            world,
        }
    }

    fn read(&self, context: &mut Context<Self>) {
        let platform = self.world.platform.clone();
        let from = self.projection.next();
        let records = self.records;
        let reading = async move { platform.read(STREAM, from, records).await };
        let done = reading.into_actor(self).map(|page, actor, context| {
            let behind = match page {
                Ok(page) => {
                    actor.records = READ_RECORDS;
                    actor.take(&page)
                }
                Err(_) => {
                    // A page of large records may be too much for one answer.
                    actor.records = (actor.records / 2).max(1);
                    let failures = &actor.world.metrics.platform_failures;
                    failures.with_label_values(&["config"]).inc();
                    false
                }
            };
            let wait = if behind {
                Duration::ZERO
            } else {
                actor.world.poll
            };
            context.run_later(wait, |actor, context| actor.read(context));
        });
        context.spawn(done);
    }

    /// Takes in a page and tells whether the log has more.
    fn take(&mut self, page: &Page) -> bool {
        self.projection.skip_to(page.first);
        for record in &page.records {
            self.projection.apply_text(record.offset, &record.body);
        }
        let behind = !page.records.is_empty() && self.projection.next() < page.end;
        // An instance that is still reading would serve with configurations that are over.
        if !behind {
            self.world.read.send_replace(Some(self.world.clock.tick()));
            self.publish();
        }
        behind
    }

    fn publish(&mut self) {
        let Some(position) = self.projection.position() else {
            return;
        };
        if self.published == Some(position.digest) {
            return;
        }
        let bundle = match self.projection.document().map(|document| document.bundle()) {
            Some(Ok(bundle)) => bundle,
            Some(Err(error)) => {
                log::error!(
                    "the configuration at offset {} cannot be read: {error}",
                    position.offset
                );
                self.published = Some(position.digest);
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
        self.world.metrics.bundle_offset.set(offset);
        self.published = Some(position.digest);
        if let Some(roster) = &self.roster {
            roster.do_send(Publish(Fact::Position(fact::Position {
                offset: position.offset,
                digest: position.digest,
            })));
        }
        self.world.position.send_replace(Some(position));
        self.world.force.send_replace(Some(Arc::new(bundle)));
    }
}

impl Config {
    /// Carries the configuration in force forward before the log drops its records.
    ///
    /// Each instance looks at a moment of its own, so that mostly one of them does it; doing it
    /// twice is harmless.
    fn schedule_carry(&self, context: &mut Context<Self>) {
        let spread = rand::random_range(Duration::ZERO..self.world.carry / CARRY_LOOKS);
        context.run_later(spread, |actor, context| {
            if let Some(carry) = actor
                .projection
                .carry(actor.world.clock.stamp(), actor.world.carry)
            {
                actor.append(Record::Carry(Box::new(carry)), context);
            }
            actor.schedule_carry(context);
        });
    }

    fn append(&self, record: Record, context: &mut Context<Self>) {
        let platform = self.world.platform.clone();
        let appending = async move { platform.append(STREAM, record.to_json()).await };
        let done = appending.into_actor(self).map(|appended, actor, _| {
            if appended.is_err() {
                // The next look finds out whether it took effect.
                let failures = &actor.world.metrics.platform_failures;
                failures.with_label_values(&["config"]).inc();
            }
        });
        context.spawn(done);
    }
}

/// Asks for the proof of the configuration in force.
#[derive(Message)]
#[rtype(result = "Option<Proof>")]
pub(crate) struct Prove;

/// Names the actor that tells peers of the configuration in force.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Report(pub(crate) Addr<Roster>);

impl Handler<Report> for Config {
    type Result = ();

    fn handle(&mut self, message: Report, _: &mut Context<Self>) {
        self.roster = Some(message.0);
    }
}

/// Tells that a peer has a configuration in force at a place in the log.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Heard {
    /// Where the peer takes messages.
    pub(crate) address: Name,
    /// The place and digest of its configuration.
    pub(crate) position: fact::Position,
}

impl Handler<Prove> for Config {
    type Result = Option<Proof>;

    fn handle(&mut self, _: Prove, _: &mut Context<Self>) -> Self::Result {
        self.projection.proof()
    }
}

impl Handler<Heard> for Config {
    type Result = ();

    /// Fetches a peer's configuration if it may be newer; the log is read anyway, so this matters
    /// while the log cannot be.
    fn handle(&mut self, message: Heard, context: &mut Context<Self>) {
        let known = self.projection.position();
        let newer = known.is_none_or(|known| {
            message.position.offset > known.offset && message.position.digest != known.digest
        });
        let newer = newer || !self.projection.is_synced();
        if !newer || self.fetching {
            return;
        }
        let Some(line) = self.world.lines.to(&message.address) else {
            return;
        };
        self.fetching = true;
        let fetching = async move { fetch(&line).await };
        let done = fetching.into_actor(self).map(|proof, actor, _| {
            actor.fetching = false;
            // A proof is taken only if its signatures and its place in the order hold.
            if let Some(proof) = proof
                && actor.projection.apply_proof(&proof).is_ok()
            {
                actor.publish();
            }
        });
        context.spawn(done);
    }
}

async fn fetch(line: &peer::Client) -> Option<Proof> {
    let proof = line.fetch(wire::Want::default()).await.ok()?;
    serde_json::from_slice(&proof.content).ok()
}

impl Actor for Config {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.read(context);
        self.schedule_carry(context);
    }
}
