//! No refusal says "not run" of a request that may have run, and none that may not be repeated runs twice.

use base::{Code, Outcome};
use googletest::prelude::*;
use relay::{
    Failure,
    policy::{self, Context, Decision},
};
use site::{Route, route::Kind};

const FAILURES: [Failure; 8] = [
    Failure::Broken,
    Failure::Full,
    Failure::InputGone,
    Failure::Mismatched,
    Failure::Moved,
    Failure::Rejected,
    Failure::TimedOut,
    Failure::Unreachable,
];

const KINDS: [(Kind, bool); 4] = [
    (Kind::Idempotent, false),
    (Kind::AtMostOnce, false),
    (Kind::Streaming, false),
    (Kind::Streaming, true),
];

/// What a request has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    sent: u32,
    unreached: usize,
    ran: bool,
}

/// Visits every state that a request of a route can come to, through any row of failures.
fn explore(route: &Route, mut visit: impl FnMut(State, Failure, Decision)) -> usize {
    let mut seen = Vec::new();
    let mut open = vec![State {
        sent: 0,
        unreached: 0,
        ran: false,
    }];
    while let Some(state) = open.pop() {
        let Err(at) = seen.binary_search(&state) else {
            continue;
        };
        seen.insert(at, state);
        for failure in FAILURES {
            let reached = failure != Failure::Unreachable;
            let missed = matches!(failure, Failure::Unreachable | Failure::Moved);
            let after = State {
                sent: state.sent + u32::from(reached),
                unreached: state.unreached + usize::from(missed),
                ran: state.ran || failure.may_have_run(),
            };
            let cx = Context {
                route,
                reached: after.sent,
                unreachable: after.unreached,
                max_unreachable: 4,
                may_have_run: state.ran,
            };
            let next = policy::decide(cx, failure);
            visit(after, failure, next);
            if matches!(next, Decision::Retry { .. }) {
                open.push(after);
            }
        }
    }
    seen.len()
}

#[gtest]
fn every_row_of_failures_ends_and_every_refusal_is_true() {
    let mut states = 0;
    for (kind, resumable) in KINDS {
        for attempts in 1..4 {
            let route = Route {
                kind,
                resumable,
                max_attempts: attempts,
                ..Route::default()
            };
            states += explore(&route, |after, failure, next| {
                let told = format!("{kind:?} {resumable} {attempts} {after:?} {failure:?}");
                match next {
                    Decision::Retry { .. } => {
                        expect_that!(!after.ran || route.is_repeatable(), eq(true), "{told}");
                    }
                    Decision::Fail(code) => {
                        let says_not_run = code.outcome() == Outcome::NotRun;
                        expect_that!(says_not_run && after.ran, eq(false), "{told}");
                    }
                }
            });
        }
    }
    println!("{states} states");
    expect_that!(states, ge(50));
}

#[gtest]
fn a_request_reaches_no_more_servers_than_its_route_allows() {
    for (kind, resumable) in KINDS {
        let route = Route {
            kind,
            resumable,
            max_attempts: 2,
            ..Route::default()
        };
        explore(&route, |after, failure, next| {
            // A server that has another's address did not count as one that it was sent to.
            if failure != Failure::Moved && failure != Failure::Unreachable && after.unreached == 0
            {
                let goes_on = matches!(next, Decision::Retry { .. });
                expect_that!(
                    goes_on && after.sent >= 2,
                    eq(false),
                    "{after:?} {failure:?}"
                );
            }
        });
    }
}

#[gtest]
fn what_ran_is_never_told_as_not_run() {
    expect_that!(
        policy::final_code(true, Code::Overloaded),
        eq(Code::CallUnknown)
    );
    expect_that!(
        policy::final_code(false, Code::Overloaded),
        eq(Code::Overloaded)
    );
}
