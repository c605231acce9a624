//! Limits that end while answers of many requests are under way.

use core::time::Duration;

use base::Tick;
use googletest::prelude::*;
use quota::{Limits, Statement};

/// The time between two requests, and how long each one takes.
const INTERVAL: Duration = Duration::from_millis(50);
const DURATION: Duration = Duration::from_millis(500);

/// When the server no longer states its limit, and the number of requests.
const END: Tick = Tick::from_millis(5_000);
const REQUESTS: u32 = 200;

fn statement(sent_at: Tick, rate: Option<f64>, brittle: Option<f64>) -> Statement {
    Statement {
        server: "i-1".into(),
        started_at_ms: 7,
        rate,
        brittle,
        sent_at,
        received_at: sent_at + DURATION,
    }
}

/// Returns when a limit was last known if the server states the given limits before and after the end.
fn last_known(
    before: (Option<f64>, Option<f64>),
    after: (Option<f64>, Option<f64>),
) -> Option<Tick> {
    let mut limits = Limits::default();
    let statements = (0..REQUESTS).map(|at| {
        let sent_at = INTERVAL * at;
        let sent_at = Tick::from_millis(sent_at.as_millis() as u64);
        let (rate, brittle) = match sent_at < END {
            true => before,
            false => after,
        };
        statement(sent_at, rate, brittle)
    });
    let mut last = None;
    for statement in statements {
        let now = statement.received_at;
        limits.record(statement);
        if limits.rate(&"i-1".into(), 7).is_some() {
            last = Some(now);
        }
    }
    last
}

/// A limit that had ended was kept for as long as requests overlapped, as each answer moved the time of the last statement.
#[gtest]
fn a_limit_ends_while_the_answers_of_requests_overlap() {
    let last = last_known((Some(20.0), None), (None, None));
    // The last answer with the limit arrives after `END + DURATION`, and a request that is sent then shows its end.
    expect_that!(last, some(lt(END + DURATION + DURATION + INTERVAL)));
    expect_that!(last, some(ge(END)));
}

/// The same for the rate of a server that stays brittle.
#[gtest]
fn a_limit_of_a_brittle_server_ends_while_the_answers_of_requests_overlap() {
    let last = last_known((Some(20.0), Some(5.0)), (None, Some(5.0)));
    expect_that!(last, some(lt(END + DURATION + DURATION + INTERVAL)));
    expect_that!(last, some(ge(END)));
}
