//! A request under every mix of failures: order of stages, what may be repeated, what is said.

use core::time::Duration;

use base::{Code, Incarnation, Outcome, Stamp, Tick, attempt::Attempt, request::Id};
use bundle::Bundle;
use flow::{Action, Answer, Event, Failure, Request, request::Context};
use googletest::prelude::*;
use proptest::{prelude::*, test_runner::TestRunner};
use serde_json::json;

const BUNDLE: &str = r#"
    name = "test"
    version = 1
    pools = [{ name = "encoders", kind = "encode" }, { name = "ledger", kind = "service" }]
    [[pipelines]]
    name = "pay"
    deadline_ms = 1000
    stages = [
        { name = "look-up", pool = "encoders" },
        { name = "pay", pool = "ledger", idempotent = false },
        { name = "notify", pool = "encoders" },
    ]
"#;

const ONCE: u16 = 1;

fn request() -> Request {
    let bundle = Bundle::from_toml(BUNDLE).unwrap();
    let pipeline = bundle.pipeline("pay").unwrap().clone();
    Request::new(Id::from_random(1), pipeline, "deposit 12".into())
}

fn cx() -> Context {
    Context {
        now: Tick::from_millis(1),
    }
}

/// Reports of what went wrong, in the order of their numbers.
fn failure(number: u8) -> Failure {
    match number % 7 {
        0 => Failure::Busy { retry_after: None },
        1 => Failure::Died,
        2 => Failure::Disconnected,
        3 => Failure::Leaving,
        4 => Failure::Mismatched,
        5 => Failure::NotConnected,
        _ => Failure::Silent {
            fresh: number.is_multiple_of(2),
        },
    }
}

/// Plays a request against random luck and notes what ran.
struct Play {
    request: Request,
    /// Calls that were made, and whether they may have run.
    calls: Vec<(Attempt, bool)>,
    output: u64,
}

impl Play {
    fn new() -> Self {
        Self {
            request: request(),
            calls: Vec::new(),
            output: 0,
        }
    }

    /// Chooses what comes of an action.
    fn react(&mut self, action: Action, luck: u8) -> core::result::Result<Event, Answer> {
        let event = match action {
            Action::AskRetry if luck.is_multiple_of(4) => Event::RetryDenied,
            Action::AskRetry => Event::RetryGranted,
            Action::Call { attempt, .. } => return Ok(self.call(attempt, luck)),
            Action::Claim if luck.is_multiple_of(8) => Event::ClaimRefused {
                code: Code::LogUnavailable,
                detail: String::new(),
            },
            Action::Claim => Event::ClaimWon,
            Action::Finish(answer) | Action::Release(answer) => return Err(answer),
            Action::Nothing => Event::DeadlinePassed,
            Action::Pick { .. } if luck.is_multiple_of(8) => Event::NoServer {
                retry_after: Duration::from_millis(100),
            },
            Action::Pick { .. } => Event::Picked {
                server: Incarnation::new(format!("server-{luck}"), Stamp::default()),
            },
            Action::Settle { .. } => {
                let action = self.request.settled(cx());
                return self.react(action, luck);
            }
        };
        Ok(if luck == u8::MAX {
            Event::DeadlinePassed
        } else {
            event
        })
    }

    fn call(&mut self, attempt: Attempt, luck: u8) -> Event {
        if luck.is_multiple_of(3) {
            self.calls.push((attempt, true));
            self.output += 1;
            return Event::Replied {
                attempt,
                output: json!(self.output),
                cost: 1.0,
            };
        }
        let failure = failure(luck);
        self.calls.push((attempt, failure.may_have_run()));
        Event::Failed {
            attempt,
            failure,
            cost: 0.0,
        }
    }

    fn run(&mut self, luck: &[u8]) -> Option<Answer> {
        let mut event = Event::Admitted;
        for luck in luck {
            let action = self.request.on(cx(), event);
            match self.react(action, *luck) {
                Ok(next) => event = next,
                Err(answer) => return Some(answer),
            }
        }
        None
    }

    fn ran(&self, stage: Option<u16>) -> usize {
        let of = |attempt: &Attempt| stage.is_none_or(|stage| attempt.stage == stage);
        self.calls
            .iter()
            .filter(|(attempt, ran)| *ran && of(attempt))
            .count()
    }
}

#[gtest]
fn nothing_runs_twice_and_nothing_is_said_that_is_not_so() {
    let config = ProptestConfig {
        cases: 4_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = proptest::test_runner::TestRng::from_seed(config.rng_algorithm, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let luck = proptest::collection::vec(any::<u8>(), 60);
    let checked = runner.run(&luck, |luck| {
        let mut play = Play::new();
        let Some(answer) = play.run(&luck) else {
            return Ok(());
        };
        prop_assert!(play.ran(Some(ONCE)) <= 1, "{:?}", play.calls);
        match answer.outcome {
            Outcome::Answered => {
                prop_assert_eq!(play.ran(Some(ONCE)), 1);
                prop_assert_eq!(answer.stages.len(), 3);
                prop_assert_eq!(answer.output, json!(play.output));
            }
            Outcome::Incomplete => prop_assert_eq!(play.ran(Some(ONCE)), 0),
            Outcome::NotRun => prop_assert_eq!(play.ran(None), 0, "{:?}", play.calls),
            Outcome::InProgress | Outcome::Unknown => {}
        }
        // Whatever comes later changes nothing.
        let late = play.request.on(cx(), Event::DeadlinePassed);
        prop_assert_eq!(late, Action::Nothing);
        Ok(())
    });
    expect_that!(checked, ok(anything()));
}

#[gtest]
fn an_answer_to_an_attempt_given_up_is_dropped() {
    let mut request = request();
    let picked = |name: &str| Event::Picked {
        server: Incarnation::new(name, Stamp::default()),
    };
    request.on(cx(), Event::Admitted);
    let Action::Call { attempt: first, .. } = request.on(cx(), picked("a")) else {
        panic!("a call was due");
    };
    let failed = Event::Failed {
        attempt: first,
        failure: Failure::Disconnected,
        cost: 0.0,
    };
    expect_that!(request.on(cx(), failed), eq(&Action::AskRetry));
    request.on(cx(), Event::RetryGranted);
    request.on(cx(), picked("b"));
    let late = Event::Replied {
        attempt: first,
        output: json!("late"),
        cost: 0.0,
    };
    expect_that!(request.on(cx(), late), eq(&Action::Nothing));
}

#[gtest]
fn a_server_behind_an_old_connection_is_tried_again_when_no_other_is_left() {
    let mut request = request();
    request.on(cx(), Event::Admitted);
    let server = Incarnation::new("a", Stamp::default());
    let Action::Call { attempt, .. } = request.on(cx(), Event::Picked { server }) else {
        panic!("a call was due");
    };
    let failure = Failure::Silent { fresh: false };
    let failed = Event::Failed {
        attempt,
        failure,
        cost: 0.0,
    };
    request.on(cx(), failed);
    let action = request.on(cx(), Event::RetryGranted);
    expect_that!(
        matches!(&action, Action::Pick { exclude } if exclude.len() == 1),
        eq(true)
    );
    let retry_after = Duration::from_millis(100);
    let action = request.on(cx(), Event::NoServer { retry_after });
    expect_that!(
        action,
        eq(&Action::Pick {
            exclude: Vec::new()
        })
    );
}

#[gtest]
fn a_stream_that_got_on_goes_on_without_the_budget_and_one_that_did_not_asks() {
    let mut request = request();
    request.on(cx(), Event::Admitted);
    let cut = |request: &mut Request, name: &str, count: u64| {
        let server = Incarnation::new(name, Stamp::default());
        let Action::Call { attempt, from, .. } = request.on(cx(), Event::Picked { server }) else {
            panic!("a call was due");
        };
        request.on(cx(), Event::Progressed { count });
        let failure = Failure::Disconnected;
        let failed = Event::Failed {
            attempt,
            failure,
            cost: 0.0,
        };
        (from, request.on(cx(), failed))
    };
    let (from, action) = cut(&mut request, "a", 7);
    expect_that!(from, eq(0));
    expect_that!(matches!(action, Action::Pick { .. }), eq(true));
    let (from, action) = cut(&mut request, "b", 7);
    expect_that!(from, eq(7));
    expect_that!(action, eq(&Action::AskRetry));
}

#[gtest]
fn a_harmful_content_gives_its_claim_back() {
    let mut request = request();
    let picked = || Event::Picked {
        server: Incarnation::new("a", Stamp::default()),
    };
    request.on(cx(), Event::Admitted);
    let Action::Call { attempt, .. } = request.on(cx(), picked()) else {
        panic!("a call was due");
    };
    let replied = Event::Replied {
        attempt,
        output: json!(1),
        cost: 1.0,
    };
    expect_that!(request.on(cx(), replied), eq(&Action::Claim));
    request.on(cx(), Event::ClaimWon);
    request.on(cx(), picked());
    let Action::Release(answer) = request.on(cx(), Event::Harmful) else {
        panic!("the claim was to be released");
    };
    expect_that!(answer.outcome, eq(Outcome::Incomplete));
}
