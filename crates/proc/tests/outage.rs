//! Claims that were abandoned while the platform's log was down.

use core::time::Duration;

use actix_web::rt::spawn;
use googletest::prelude::*;
use proc::{
    caller::{self, Caller, Request},
    fakes, poll,
    scene::Builder,
    settle,
};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(20);
const POOL: &str = "entries-api";

#[gtest]
#[actix_web::test]
async fn a_claim_given_up_in_an_outage_is_released_after_it() {
    let builder = Builder::new("compas").servers(2);
    let scene = builder.pools(&[POOL, "roster-sync"]).start().await;
    let platform = scene.platform.url.clone();
    let urls = [0, 1].map(|at| scene.entries[at].url.clone());
    let key = caller::key();
    let caller = Caller::new("contest-office");
    let request = Request::new("fee-payment", json!({"band": "Quetzal"}))
        .key(key)
        .within(Duration::from_secs(6));

    // The claim is appended but its answer hangs. Then the log is down for longer than the request.
    fakes::set_faults(&platform, json!({"hang_appends": 1})).await;
    let first = {
        let (caller, request, url) = (caller.clone(), request.clone(), urls[0].clone());
        spawn(async move { caller.send(&url, &request).await })
    };
    let lost = poll::until(TIMEOUT, async || {
        (fakes::count(&platform, "appends_lost").await > 0).then_some(())
    });
    assert_that!(lost.await, some(anything()));
    fakes::set_faults(&platform, json!({"down": true})).await;
    let first = first.await.unwrap().unwrap();
    expect_that!(first.outcome(), eq("unknown"), "{:#}", first.body);
    fakes::set_faults(&platform, json!({"down": false})).await;

    let urls = [urls[1].as_str(), urls[0].as_str()];
    let last = settle::until_final(&caller, &urls, &request).await;
    let runs = fakes::runs(&scene.urls(POOL), key).await;
    expect_that!((last.code(), runs), eq((100, 1)), "{:#}", last.body);
}
