//! A gate before one pool, and its clock.

use core::time::Duration;

use admit::{Action, Ask, Config, Context, Event, Gate, Refusal, Verdict};
use base::{Name, Tick, request::Id};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

pub(crate) struct World {
    pub(crate) gate: Gate,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Tick,
    asked: u128,
}

impl World {
    /// A pipeline of one stage with so many places.
    pub(crate) fn new(places: f64) -> Self {
        // One request for each place, so that a test can count what runs.
        let mut config = Config::default();
        config.pool.headroom = (1.0, 1.0);
        let mut world = Self {
            gate: Gate::new(config),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Tick::from_millis(100_000_000),
            asked: 0,
        };
        world.gate.pipeline(&"draft".into(), &["runners".into()]);
        world.capacity(places);
        world
    }

    pub(crate) fn on(&mut self, event: Event) -> Vec<Action> {
        let mut cx = Context {
            now: self.now,
            rng: &mut self.rng,
        };
        self.gate.on(&mut cx, event)
    }

    pub(crate) fn tick(&mut self) -> Vec<Action> {
        let mut cx = Context {
            now: self.now,
            rng: &mut self.rng,
        };
        self.gate.tick(&mut cx)
    }

    pub(crate) fn capacity(&mut self, places: f64) -> Vec<Action> {
        self.on(Event::Capacity {
            pool: "runners".into(),
            places,
            retry_after: Duration::from_millis(500),
        })
    }

    pub(crate) fn ask(&mut self, account: &str, priority: u8, within: Duration) -> Ask {
        self.asked += 1;
        Ask {
            request: Id::from_random(self.asked),
            account: Name::from(account),
            pipeline: "draft".into(),
            priority,
            deadline: self.now + within,
            age_from: self.now,
        }
    }

    pub(crate) fn offer(&mut self, ask: Ask) -> Verdict {
        let mut cx = Context {
            now: self.now,
            rng: &mut self.rng,
        };
        self.gate.offer(&mut cx, ask)
    }

    pub(crate) fn finish(&mut self, request: Id, took: Duration) -> Vec<Action> {
        let mut actions = self.on(Event::StageTook {
            request,
            stage: 0,
            took,
        });
        actions.extend(self.on(Event::Finished {
            request,
            cost: took.as_secs_f64(),
        }));
        actions
    }

    /// Runs one request to its end, so that the stage's time is known.
    pub(crate) fn measure(&mut self, took: Duration) {
        let ask = self.ask("press", 0, Duration::from_secs(60));
        let request = ask.request;
        self.offer(ask);
        self.finish(request, took);
    }
}

pub(crate) fn started(actions: &[Action]) -> Vec<Id> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Start(request) => Some(*request),
            Action::Refuse(..) => None,
        })
        .collect()
}

pub(crate) fn refusal(verdict: Verdict) -> Option<Refusal> {
    match verdict {
        Verdict::Refused(refusal) => Some(refusal),
        Verdict::Start | Verdict::Queued => None,
    }
}
