//! A request under random failures: order of stages, retries and reported outcome.

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

const NON_IDEMPOTENT: u16 = 1;

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

/// Returns the failure for a number.
fn failure(number: u8) -> Failure {
    match number % 7 {
        0 => Failure::Busy { retry_after: None },
        1 => Failure::Died,
        2 => Failure::Disconnected,
        3 => Failure::Leaving,
        4 => Failure::Mismatched,
        5 => Failure::NotConnected,
        _ => Failure::TimedOut {
            new_connection: number.is_multiple_of(2),
        },
    }
}

/// Runs a request with random results and records which calls ran.
struct Simulation {
    request: Request,
    /// The attempts made, and whether each may have run.
    calls: Vec<(Attempt, bool)>,
    output: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            request: request(),
            calls: Vec::new(),
            output: 0,
        }
    }

    /// Chooses the result of an action.
    fn result(&mut self, action: Action, choice: u8) -> core::result::Result<Event, Answer> {
        let event = match action {
            Action::RequestRetry if choice.is_multiple_of(4) => Event::RetryDenied,
            Action::RequestRetry => Event::RetryGranted,
            Action::Call { attempt, .. } => return Ok(self.call(attempt, choice)),
            Action::Claim if choice.is_multiple_of(8) => Event::ClaimRefused {
                code: Code::LogUnavailable,
                detail: String::new(),
            },
            Action::Claim => Event::ClaimWon,
            Action::Finish(answer) | Action::Release(answer) => return Err(answer),
            Action::Nothing => Event::DeadlinePassed,
            Action::Pick { .. } if choice.is_multiple_of(8) => Event::NoServer {
                retry_after: Duration::from_millis(100),
            },
            Action::Pick { .. } => Event::Picked {
                server: Incarnation::new(format!("server-{choice}"), Stamp::default()),
            },
            Action::RecordOutput { .. } => {
                let action = self.request.resume(cx());
                return self.result(action, choice);
            }
        };
        Ok(if choice == u8::MAX {
            Event::DeadlinePassed
        } else {
            event
        })
    }

    fn call(&mut self, attempt: Attempt, choice: u8) -> Event {
        if choice.is_multiple_of(3) {
            self.calls.push((attempt, true));
            self.output += 1;
            return Event::Replied {
                attempt,
                output: json!(self.output),
                cost: 1.0,
            };
        }
        let failure = failure(choice);
        self.calls.push((attempt, failure.may_have_run()));
        Event::Failed {
            attempt,
            failure,
            cost: 0.0,
        }
    }

    fn run(&mut self, choices: &[u8]) -> Option<Answer> {
        let mut event = Event::Admitted;
        for choice in choices {
            let action = self.request.handle(cx(), event);
            match self.result(action, *choice) {
                Ok(next) => event = next,
                Err(answer) => return Some(answer),
            }
        }
        None
    }

    fn ran(&self, stage: Option<u16>) -> usize {
        let is_at_stage = |attempt: &Attempt| stage.is_none_or(|stage| attempt.stage == stage);
        self.calls
            .iter()
            .filter(|(attempt, ran)| *ran && is_at_stage(attempt))
            .count()
    }
}

#[gtest]
fn no_call_runs_twice_and_the_outcome_is_correct() {
    let config = ProptestConfig {
        cases: 4_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = proptest::test_runner::TestRng::from_seed(config.rng_algorithm, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let choices = proptest::collection::vec(any::<u8>(), 60);
    let checked = runner.run(&choices, |choices| {
        let mut sim = Simulation::new();
        let Some(answer) = sim.run(&choices) else {
            return Ok(());
        };
        prop_assert!(sim.ran(Some(NON_IDEMPOTENT)) <= 1, "{:?}", sim.calls);
        match answer.outcome {
            Outcome::Answered => {
                prop_assert_eq!(sim.ran(Some(NON_IDEMPOTENT)), 1);
                prop_assert_eq!(answer.stages.len(), 3);
                prop_assert_eq!(answer.output, json!(sim.output));
            }
            Outcome::Incomplete => prop_assert_eq!(sim.ran(Some(NON_IDEMPOTENT)), 0),
            Outcome::NotRun => prop_assert_eq!(sim.ran(None), 0, "{:?}", sim.calls),
            Outcome::InProgress | Outcome::Unknown => {}
        }
        // Later events are ignored.
        let late = sim.request.handle(cx(), Event::DeadlinePassed);
        prop_assert_eq!(late, Action::Nothing);
        Ok(())
    });
    expect_that!(checked, ok(anything()));
}

#[gtest]
fn an_answer_to_an_abandoned_attempt_is_ignored() {
    let mut request = request();
    let picked = |name: &str| Event::Picked {
        server: Incarnation::new(name, Stamp::default()),
    };
    request.handle(cx(), Event::Admitted);
    let Action::Call { attempt: first, .. } = request.handle(cx(), picked("a")) else {
        panic!("expected a call");
    };
    let failed = Event::Failed {
        attempt: first,
        failure: Failure::Disconnected,
        cost: 0.0,
    };
    expect_that!(request.handle(cx(), failed), eq(&Action::RequestRetry));
    request.handle(cx(), Event::RetryGranted);
    request.handle(cx(), picked("b"));
    let late = Event::Replied {
        attempt: first,
        output: json!("late"),
        cost: 0.0,
    };
    expect_that!(request.handle(cx(), late), eq(&Action::Nothing));
}

#[gtest]
fn a_server_that_failed_over_an_old_connection_is_retried_when_no_other_is_left() {
    let mut request = request();
    request.handle(cx(), Event::Admitted);
    let server = Incarnation::new("a", Stamp::default());
    let Action::Call { attempt, .. } = request.handle(cx(), Event::Picked { server }) else {
        panic!("expected a call");
    };
    let failure = Failure::TimedOut {
        new_connection: false,
    };
    let failed = Event::Failed {
        attempt,
        failure,
        cost: 0.0,
    };
    request.handle(cx(), failed);
    let action = request.handle(cx(), Event::RetryGranted);
    expect_that!(
        matches!(&action, Action::Pick { exclude } if exclude.len() == 1),
        eq(true)
    );
    let retry_after = Duration::from_millis(100);
    let action = request.handle(cx(), Event::NoServer { retry_after });
    expect_that!(
        action,
        eq(&Action::Pick {
            exclude: Vec::new()
        })
    );
}

#[gtest]
fn only_a_stream_without_progress_needs_the_retry_budget_to_continue() {
    let mut request = request();
    request.handle(cx(), Event::Admitted);
    let cut = |request: &mut Request, name: &str, count: u64| {
        let server = Incarnation::new(name, Stamp::default());
        let Action::Call {
            attempt,
            first_token,
            ..
        } = request.handle(cx(), Event::Picked { server })
        else {
            panic!("expected a call");
        };
        request.handle(cx(), Event::Progressed { count });
        let failure = Failure::Disconnected;
        let failed = Event::Failed {
            attempt,
            failure,
            cost: 0.0,
        };
        (first_token, request.handle(cx(), failed))
    };
    let (first_token, action) = cut(&mut request, "a", 7);
    expect_that!(first_token, eq(0));
    expect_that!(matches!(action, Action::Pick { .. }), eq(true));
    let (first_token, action) = cut(&mut request, "b", 7);
    expect_that!(first_token, eq(7));
    expect_that!(action, eq(&Action::RequestRetry));
}

/// A call that was prepared too late was sent, and its claim was not released.
#[gtest]
fn a_call_that_expires_before_it_is_sent_releases_its_claim() {
    let mut request = request_with_claim();
    let Action::Release(answer) = request.handle(cx(), Event::Expired) else {
        panic!("expected the claim to be released");
    };
    expect_that!(answer.code, eq(Code::DeadlinePassed));
    expect_that!(answer.outcome, eq(Outcome::Incomplete));
    expect_that!(answer.retry_after, some(anything()));
}

#[gtest]
fn a_harmful_content_releases_its_claim() {
    let mut request = request_with_claim();
    let Action::Release(answer) = request.handle(cx(), Event::Harmful) else {
        panic!("expected the claim to be released");
    };
    expect_that!(answer.outcome, eq(Outcome::Incomplete));
}

/// Returns a request whose non-idempotent call has won its claim and is about to be sent.
fn request_with_claim() -> Request {
    let mut request = request();
    let picked = || Event::Picked {
        server: Incarnation::new("a", Stamp::default()),
    };
    request.handle(cx(), Event::Admitted);
    let Action::Call { attempt, .. } = request.handle(cx(), picked()) else {
        panic!("expected a call");
    };
    let replied = Event::Replied {
        attempt,
        output: json!(1),
        cost: 1.0,
    };
    assert_that!(request.handle(cx(), replied), eq(&Action::Claim));
    request.handle(cx(), Event::ClaimWon);
    request.handle(cx(), picked());
    request
}
