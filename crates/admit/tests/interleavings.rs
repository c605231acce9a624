//! Invariants of the admission controller over random interleavings of events.

use core::time::Duration;

use admit::{Action, Context, Controller, Event, Request, Verdict};
use base::{Name, Tick, request::Id};
use proptest::{collection::vec, prelude::*};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const PIPELINES: [&str; 2] = ["answer", "lookup"];
const DAY: Duration = Duration::from_secs(86_400);

#[derive(Clone, Debug)]
enum Step {
    Cancel(usize),
    Capacity(usize, u8),
    Finish(usize, u16),
    Offer {
        account: u8,
        pipeline: usize,
        priority: u8,
        within: u16,
        background: bool,
    },
    Advance(u16),
    Stage(usize, u16),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Running(usize),
    Ended,
}

struct Simulation {
    controller: Controller,
    rng: ChaCha8Rng,
    now: Tick,
    /// State, pipeline and whether it is a background request, by number.
    requests: Vec<(State, usize, bool)>,
}

impl Simulation {
    fn new() -> Self {
        let mut controller = Controller::default();
        controller.set_pipeline(&"answer".into(), &["encoders".into(), "runners".into()]);
        controller.set_pipeline(&"lookup".into(), &["encoders".into()]);
        Self {
            controller,
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Tick::from_millis(1_000_000_000),
            requests: Vec::new(),
        }
    }

    fn on(&mut self, event: Event) {
        let mut cx = Context {
            now: self.now,
            rng: &mut self.rng,
        };
        let actions = self.controller.handle(&mut cx, event);
        self.apply(actions);
    }

    fn tick(&mut self) {
        let mut cx = Context {
            now: self.now,
            rng: &mut self.rng,
        };
        let actions = self.controller.tick(&mut cx);
        self.apply(actions);
    }

    /// Applies actions and checks that each refers to a waiting request.
    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (request, next) = match action {
                Action::Start(request) => (request, State::Running(0)),
                Action::Refuse(request, _) => (request, State::Ended),
            };
            let at = (0..self.requests.len()).find(|at| id(*at) == request);
            let request = &mut self.requests[at.expect("a known request")];
            assert_eq!(
                request.0,
                State::Waiting,
                "an action on a request that does not wait"
            );
            assert!(
                !request.2 || next != State::Ended,
                "a background request was dropped"
            );
            request.0 = next;
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Offer {
                account,
                pipeline,
                priority,
                within,
                background,
            } => self.offer(account, pipeline, priority, within, background),
            Step::Advance(millis) => {
                self.now = self.now + Duration::from_millis(u64::from(millis));
                self.tick();
            }
            Step::Capacity(pool, slots) => self.on(Event::Capacity {
                pool: Name::from(["encoders", "runners"][pool % 2]),
                slots: f64::from(slots),
                retry_after: Duration::from_millis(100),
            }),
            Step::Stage(pick, millis) => self.stage(pick, millis),
            Step::Finish(pick, cost) => self.finish(pick, cost),
            Step::Cancel(pick) => {
                if let Some(at) = self.pick(pick, |state| state == State::Waiting) {
                    self.requests[at].0 = State::Ended;
                    self.on(Event::Cancelled { request: id(at) });
                }
            }
        }
    }

    fn offer(&mut self, account: u8, pipeline: usize, priority: u8, within: u16, background: bool) {
        let at = self.requests.len();
        let within = Duration::from_millis(u64::from(within));
        let ask = Request {
            id: id(at),
            account: Name::from(format!("account-{}", account % 4)),
            pipeline: PIPELINES[pipeline % 2].into(),
            priority: priority % 3,
            deadline: self.now + if background { 3 * DAY } else { within },
            issued_at: self.now,
        };
        let mut cx = Context {
            now: self.now,
            rng: &mut self.rng,
        };
        let state = match self.controller.offer(&mut cx, ask) {
            Verdict::Start => State::Running(0),
            Verdict::Queued => State::Waiting,
            Verdict::Refused(_) => State::Ended,
        };
        self.requests.push((state, pipeline % 2, background));
    }

    fn stage(&mut self, pick: usize, millis: u16) {
        let Some(at) = self.pick(pick, |state| matches!(state, State::Running(_))) else {
            return;
        };
        let State::Running(stage) = self.requests[at].0 else {
            return;
        };
        let stages = [2, 1][self.requests[at].1];
        if stage < stages {
            self.requests[at].0 = State::Running(stage + 1);
            let elapsed = Duration::from_millis(u64::from(millis));
            self.on(Event::StageFinished {
                request: id(at),
                stage,
                elapsed,
            });
        }
    }

    fn finish(&mut self, pick: usize, cost: u16) {
        if let Some(at) = self.pick(pick, |state| matches!(state, State::Running(_))) {
            self.requests[at].0 = State::Ended;
            let cost = f64::from(cost);
            self.on(Event::Finished {
                request: id(at),
                cost,
            });
        }
    }

    fn pick(&self, pick: usize, which: impl Fn(State) -> bool) -> Option<usize> {
        let found: Vec<usize> = (0..self.requests.len())
            .filter(|at| which(self.requests[*at].0))
            .collect();
        (!found.is_empty()).then(|| found[pick % found.len()])
    }

    fn count(&self, which: impl Fn(State) -> bool) -> usize {
        let states = self.requests.iter().map(|request| request.0);
        states.filter(|state| which(*state)).count()
    }
}

fn id(at: usize) -> Id {
    Id::from_random(at as u128)
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (any::<u8>(), any::<usize>(), any::<u8>(), 1..8_000_u16);
    let offer = (offer, prop::bool::weighted(0.2)).prop_map(
        |((account, pipeline, priority, within), background)| Step::Offer {
            account,
            pipeline,
            priority,
            within,
            background,
        },
    );
    prop_oneof![
        6 => offer,
        3 => (any::<usize>(), 1..3_000_u16).prop_map(|(pick, elapsed)| Step::Stage(pick, elapsed)),
        3 => (any::<usize>(), any::<u16>()).prop_map(|(pick, cost)| Step::Finish(pick, cost)),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (any::<usize>(), 0..6_u8).prop_map(|(pool, slots)| Step::Capacity(pool, slots)),
        2 => (0..2_000_u16).prop_map(Step::Advance),
    ]
}

proptest! {
    /// Every waiting request starts, is refused or is cancelled exactly once; the controller's counts agree
    /// with its actions; no request waits forever once pools have capacity.
    #[test]
    fn no_request_is_lost_duplicated_or_stuck(steps in vec(step(), 1..200)) {
        let mut sim = Simulation::new();
        for step in &steps {
            sim.step(step);
            prop_assert_eq!(sim.controller.waiting(), sim.count(|state| state == State::Waiting));
            let running = sim.count(|state| matches!(state, State::Running(_)));
            prop_assert_eq!(sim.controller.running(), running);
        }
        for pool in 0..2 {
            sim.step(&Step::Capacity(pool, 5));
        }
        let mut rounds = 0;
        while sim.count(|state| state != State::Ended) > 0 {
            sim.step(&Step::Finish(0, 1));
            sim.step(&Step::Advance(10));
            rounds += 1;
            prop_assert!(rounds < 1_000, "requests are stuck: {:?}", sim.requests);
        }
    }
}
