//! A simulated clock and an admission controller for one pool.

use core::time::Duration;

use admit::{Action, Config, Context, Controller, Event, Refusal, Request, Verdict};
use base::{Name, Tick, request::Id};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

pub(crate) struct Simulation {
    pub(crate) controller: Controller,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Tick,
    issued: u128,
}

impl Simulation {
    /// Creates a pipeline of one stage with the given number of slots.
    pub(crate) fn new(slots: f64) -> Self {
        // Admits one request per slot, so that tests can count running requests.
        let mut config = Config::default();
        config.pool.headroom = (1.0, 1.0);
        let mut sim = Self {
            controller: Controller::new(config),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Tick::from_millis(100_000_000),
            issued: 0,
        };
        sim.controller
            .set_pipeline(&"draft".into(), &["runners".into()]);
        sim.capacity(slots);
        sim
    }

    pub(crate) fn on(&mut self, event: Event) -> Vec<Action> {
        let mut cx = Context {
            now: self.now,
            rng: &mut self.rng,
        };
        self.controller.handle(&mut cx, event)
    }

    pub(crate) fn tick(&mut self) -> Vec<Action> {
        let mut cx = Context {
            now: self.now,
            rng: &mut self.rng,
        };
        self.controller.tick(&mut cx)
    }

    pub(crate) fn capacity(&mut self, slots: f64) -> Vec<Action> {
        self.on(Event::Capacity {
            pool: "runners".into(),
            slots,
            retry_after: Duration::from_millis(500),
        })
    }

    pub(crate) fn request(&mut self, account: &str, priority: u8, within: Duration) -> Request {
        self.issued += 1;
        Request {
            id: Id::from_random(self.issued),
            account: Name::from(account),
            pipeline: "draft".into(),
            priority,
            deadline: self.now + within,
            issued_at: self.now,
        }
    }

    pub(crate) fn offer(&mut self, request: Request) -> Verdict {
        let mut cx = Context {
            now: self.now,
            rng: &mut self.rng,
        };
        self.controller.offer(&mut cx, request)
    }

    pub(crate) fn finish(&mut self, request: Id, elapsed: Duration) -> Vec<Action> {
        let mut actions = self.on(Event::StageFinished {
            request,
            stage: 0,
            elapsed,
        });
        actions.extend(self.on(Event::Finished {
            request,
            cost: elapsed.as_secs_f64(),
        }));
        actions
    }

    /// Runs one request to its end, so that its stage time is recorded.
    pub(crate) fn measure(&mut self, elapsed: Duration) {
        let request = self.request("press", 0, Duration::from_secs(60));
        let id = request.id;
        self.offer(request);
        self.finish(id, elapsed);
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
