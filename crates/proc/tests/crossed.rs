//! Answers with another attempt's number, within streams and on reused connections.

use core::time::Duration;

use actix_web::rt::time::sleep;
use futures_util::future::join_all;
use googletest::prelude::*;
use proc::{
    caller::{Caller, Events, Request},
    fakes, metrics, poll,
    scene::{Builder, Scene},
};
use serde_json::{Value, json};

const POOL: &str = "limpet-pool";

const TIMEOUT: Duration = Duration::from_secs(30);

const SERVICE: &str = "entries-api";

const TOKENS: u64 = 40;

/// Requests before a test, so that every server has connections to reuse.
const WARM_UP: usize = 16;

async fn scene() -> Scene {
    let builder = Builder::new("compas").entries(1).servers(2).unlimited();
    let pools = [POOL, SERVICE, "draw-board", "notify-bands", "roster-sync"];
    builder.pools(&pools).start().await
}

fn summary(tokens: u64) -> Request {
    let input = json!({"band": "Quetzal", "max_tokens": tokens});
    Request::new("scoring-summary", input).within(Duration::from_secs(20))
}

async fn read(scene: &Scene, request: &Request) -> Events {
    let caller = Caller::new("adjudicators");
    let events = caller
        .stream(&scene.entries[0].url, request, usize::MAX)
        .await;
    events.unwrap_or_else(|problem| panic!("{problem:#?}"))
}

async fn mismatched(scene: &Scene, pool: &str) -> u64 {
    let labels = format!("end=\"mismatched\",pool=\"{pool}\"");
    metrics::read(&scene.entries[0].url, "attempts_total", &labels).await
}

fn expect_whole(events: &Events, whole: &Events) {
    expect_that!(events.texts, eq(&whole.texts));
    let field = |events: &Events, name: &str| {
        let end = events.end.as_ref();
        end.map_or(Value::Null, |(_, data)| data[name].clone())
    };
    expect_that!(events.is_complete(), eq(true), "{:?}", events.end);
    for name in ["count", "digest"] {
        expect_that!(field(events, name), eq(&field(whole, name)));
    }
}

/// Returns the server that the prompt is routed to because its cache has it.
async fn preferred(scene: &Scene, whole: &Events) -> String {
    let found = poll::until(TIMEOUT, async || {
        let before = tokens(scene).await;
        expect_whole(&read(scene, &summary(TOKENS)).await, whole);
        let after = tokens(scene).await;
        let at = (0..after.len()).find(|at| after[*at] - before[*at] == TOKENS)?;
        Some(scene.urls(POOL)[at].clone())
    });
    found.await.expect("a server that answers alone")
}

async fn tokens(scene: &Scene) -> Vec<u64> {
    let urls = scene.urls(POOL);
    join_all(urls.iter().map(|url| fakes::count(url, "tokens"))).await
}

/// Injects a fault at the server that the prompt is routed to until one of its attempts is dropped;
/// each answer must be complete.
async fn expect_drop(scene: &Scene, whole: &Events, after: u64) {
    let dropped = poll::until(TIMEOUT, async || {
        let broken = preferred(scene, whole).await;
        let before = mismatched(scene, POOL).await;
        fakes::set_faults(&broken, json!({"cross_stream_after": after})).await;
        expect_whole(&read(scene, &summary(TOKENS)).await, whole);
        fakes::set_faults(&broken, json!({"cross_stream_after": null})).await;
        (mismatched(scene, POOL).await > before).then_some(())
    });
    expect_that!(dropped.await, some(anything()), "after {after}");
}

#[gtest]
#[actix_web::test]
async fn events_of_another_attempt_are_dropped_and_the_answer_is_whole() {
    let scene = scene().await;
    let whole = read(&scene, &summary(TOKENS)).await;
    assert_that!(whole.is_complete(), eq(true));
    for after in [0, 7, TOKENS - 1] {
        expect_drop(&scene, &whole, after).await;
    }
}

#[gtest]
#[actix_web::test]
async fn answers_of_another_attempt_on_reused_connections_are_dropped() {
    let scene = scene().await;
    let caller = Caller::new("stewards");
    let url = &scene.entries[0].url;
    let request = Request::new("status", json!({"band": "Quetzal"})).within(TIMEOUT);
    let whole = caller.send(url, &request).await.unwrap();
    assert_that!(whole.code(), eq(100));
    scene
        .warm_up("stewards", core::slice::from_ref(&request), WARM_UP)
        .await;
    let broken = &scene.urls(SERVICE)[0];
    fakes::set_faults(broken, json!({"cross_reused": true})).await;
    let before = mismatched(&scene, SERVICE).await;
    let dropped = poll::until(TIMEOUT, async || {
        let reply = caller.send(url, &request).await.ok()?;
        expect_that!(reply.body["output"], eq(&whole.body["output"]));
        (mismatched(&scene, SERVICE).await > before).then_some(())
    });
    expect_that!(dropped.await, some(anything()));
}

/// Longer than the time for which a server that failed several times gets no attempts.
const BACKOFF: Duration = Duration::from_millis(1_200);

/// Callers were refused with 303 right after an answer, as the instance did not know yet that the server that gave it was
/// free again.
#[gtest]
#[actix_web::test]
async fn a_request_right_after_an_answer_is_not_refused() {
    let scene = scene().await;
    let request = summary(TOKENS);
    let whole = read(&scene, &request).await;
    let caller = Caller::new("adjudicators");
    let urls = scene.urls(POOL);
    for _ in 0..2 {
        let mut turn = urls.iter().cycle();
        let dropped = poll::until(TIMEOUT, async || {
            // Fills the retry budget.
            let short = summary(1);
            scene.warm_up("adjudicators", &[short], WARM_UP).await;
            // Each server fails, and gets one attempt at a time from then on.
            let fault = json!({"cross_stream_after": 0});
            scene.set_faults(POOL, fault.clone()).await;
            let refused = caller.stream(&scene.entries[0].url, &request, usize::MAX);
            expect_that!(refused.await, err(anything()));
            let sound = json!({"cross_stream_after": null});
            scene.set_faults(POOL, sound.clone()).await;
            sleep(BACKOFF).await;
            // One server fails its attempt if it gets one, and the other one answers.
            let before = mismatched(&scene, POOL).await;
            fakes::set_faults(turn.next()?, fault).await;
            expect_whole(&read(&scene, &request).await, &whole);
            expect_whole(&read(&scene, &request).await, &whole);
            scene.set_faults(POOL, sound).await;
            (mismatched(&scene, POOL).await > before).then_some(())
        });
        expect_that!(dropped.await, some(anything()));
    }
}
