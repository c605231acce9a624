//! The actor that follows the configuration in the platform's log.

use core::time::Duration;
use std::sync::Arc;

use actix::{Actor, ActorFutureExt as _, AsyncContext as _, Context, WrapFuture as _};
use base::Digest;
use bundle::{Record, fold::Fold};
use platform::{Log as _, log::Page};
use tokio::sync::watch;

use crate::{clock::Clock, metrics::Metrics, view::Force};

/// The stream of the log that holds configuration.
pub const STREAM: &str = "config";

/// Records read from the log at once.
const READ_RECORDS: usize = 100;

/// The age of the last `Carry` at which another one is due; well below the log's retention.
const CARRY_EVERY: Duration = Duration::from_secs(600);

/// The time over which instances spread their looks at whether a `Carry` is due.
const CARRY_SPREAD: Duration = Duration::from_secs(60);

/// Follows the configuration.
pub struct Config {
    clock: Clock,
    fold: Fold,
    force: watch::Sender<Force>,
    metrics: Arc<Metrics>,
    platform: platform::Http,
    poll: Duration,
    published: Option<Digest>,
}

impl Config {
    /// Returns an actor that knows no configuration yet.
    pub fn new(
        clock: Clock,
        root_keys: Vec<Digest>,
        platform: platform::Http,
        poll: Duration,
        metrics: Arc<Metrics>,
        force: watch::Sender<Force>,
    ) -> Self {
        Self {
            clock,
            fold: Fold::open(root_keys),
            force,
            metrics,
            platform,
            poll,
            published: None,
        }
    }

    fn read(&self, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let from = self.fold.next();
        let reading = async move { platform.read(STREAM, from, READ_RECORDS).await };
        let done = reading.into_actor(self).map(|page, actor, context| {
            let behind = match page {
                Ok(page) => actor.take(&page),
                Err(_) => {
                    let failures = &actor.metrics.platform_failures;
                    failures.with_label_values(&["config"]).inc();
                    false
                }
            };
            let wait = if behind { Duration::ZERO } else { actor.poll };
            context.run_later(wait, |actor, context| actor.read(context));
        });
        context.spawn(done);
    }

    /// Takes in a page and tells whether the log has more.
    fn take(&mut self, page: &Page) -> bool {
        self.fold.seek(page.first);
        for record in &page.records {
            self.fold.apply_text(record.offset, &record.body);
        }
        self.publish();
        !page.records.is_empty() && self.fold.next() < page.end
    }

    fn publish(&mut self) {
        let Some(position) = self.fold.position() else {
            return;
        };
        if self.published == Some(position.digest) {
            return;
        }
        let Some(Ok(bundle)) = self.fold.sheet().map(|sheet| sheet.bundle()) else {
            return;
        };
        log::info!(
            "configuration in force: '{}' version {} at offset {}",
            bundle.name,
            bundle.version,
            position.offset,
        );
        let offset = i64::try_from(position.offset).unwrap_or(i64::MAX);
        self.metrics.bundle_offset.set(offset);
        self.published = Some(position.digest);
        self.force.send_replace(Some(Arc::new(bundle)));
    }
}

impl Config {
    /// Carries the configuration in force forward before the log drops its records.
    ///
    /// Each instance looks at a moment of its own, so that mostly one of them does it; doing it
    /// twice is harmless.
    fn schedule_carry(&self, context: &mut Context<Self>) {
        let spread = rand::random_range(Duration::ZERO..CARRY_SPREAD);
        context.run_later(spread, |actor, context| {
            if let Some(carry) = actor.fold.carry(actor.clock.stamp(), CARRY_EVERY) {
                actor.append(Record::Carry(Box::new(carry)), context);
            }
            actor.schedule_carry(context);
        });
    }

    fn append(&self, record: Record, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let appending = async move { platform.append(STREAM, record.to_json()).await };
        let done = appending.into_actor(self).map(|appended, actor, _| {
            if appended.is_err() {
                // The next look finds out whether it took effect.
                let failures = &actor.metrics.platform_failures;
                failures.with_label_values(&["config"]).inc();
            }
        });
        context.spawn(done);
    }
}

impl Actor for Config {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.read(context);
        self.schedule_carry(context);
    }
}
