//! What requests add to the retry budget.

mod support;

use googletest::prelude::*;
use relay::{Failure, Transport, serve::serve};
use site::route::Kind;
use support::{Reaction, hub, job};

/// Returns the number of retries that are allowed after requests whose servers react in the given way.
async fn allowed_retries(reactions: &[Reaction]) -> usize {
    let hub = hub(Vec::new());
    for _ in 0..40 {
        hub.transport
            .reactions
            .borrow_mut()
            .extend(reactions.iter().cloned());
        let answer = serve(&hub, job(&hub, Kind::Idempotent, |_| {})).await;
        expect_that!(answer.is_ok(), eq(true));
    }
    hub.with(|state| {
        let now = hub.transport.now();
        let count = state.members.count();
        let allowed = || state.retry_window.try_retry(now, &"engines".into(), count);
        core::iter::repeat_with(allowed)
            .take_while(|is| *is)
            .count()
    })
}

/// BUDGET: a request that found servers without a free connection counted once for each of them, and allowed more retries.
#[gtest]
#[actix_web::test]
async fn a_request_counts_once_however_many_servers_it_is_tried_at() {
    let answer = Reaction::Answer(200, vec![Ok("whole")]);
    let exhausted = Reaction::Fail(Failure::Exhausted);
    let once = allowed_retries(std::slice::from_ref(&answer)).await;
    let tried = allowed_retries(&[exhausted.clone(), exhausted, answer]).await;
    expect_that!(tried, eq(once));
}
