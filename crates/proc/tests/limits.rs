//! The rate limit of a client account over all instances, also when failure domains are cut off.

use core::time::Duration;
use std::time::Instant;

use actix_web::rt::time::sleep;
use futures_util::future::join_all;
use googletest::prelude::*;
use proc::{
    caller::{Caller, Request},
    link::State,
    scene::{Builder, Scene},
};
use serde_json::json;

const ACCOUNT: &str = "school-bands";

/// The account's limit in the example, in requests per second.
const LIMIT_PER_SECOND: f64 = 20.0;

/// Senders at each instance; with the pause after each answer, they send about ten times the limit.
const SENDERS: usize = 2;
const PAUSE: Duration = Duration::from_millis(30);

const OVERLOAD_TIME: Duration = Duration::from_secs(4);

/// The counts of one overload period.
struct Count {
    admitted: f64,
    sent: f64,
    /// Requests that the rate alone allows in the elapsed time.
    allowed: f64,
}

async fn scene() -> Scene {
    let builder = Builder::new("compas").domains(2).entries(2).servers(1);
    builder
        .partitionable()
        .pools(&["entries-api"])
        .start()
        .await
}

async fn send(url: &str, until: Instant) -> (f64, f64) {
    let caller = Caller::new(ACCOUNT);
    let request = Request::new("status", json!({"band": "Quetzal"}));
    let (mut admitted, mut sent) = (0.0, 0.0);
    while Instant::now() < until {
        let reply = caller.send(url, &request).await.expect("an answer");
        let known = any!(eq(100), eq(301));
        expect_that!(reply.code(), known, "{:#}", reply.body);
        sent += 1.0;
        admitted += f64::from(u8::from(reply.code() == 100));
        sleep(PAUSE).await;
    }
    (admitted, sent)
}

/// Sends far more requests than the limit to some instances.
async fn overload(urls: &[&str]) -> Count {
    let started_at = Instant::now();
    let until = started_at + OVERLOAD_TIME;
    let senders = urls.iter().flat_map(|url| [*url; SENDERS]);
    let counts = join_all(senders.map(|url| send(url, until))).await;
    Count {
        admitted: counts.iter().map(|count| count.0).sum(),
        sent: counts.iter().map(|count| count.1).sum(),
        allowed: LIMIT_PER_SECOND * started_at.elapsed().as_secs_f64(),
    }
}

#[gtest]
#[actix_web::test]
async fn an_account_gets_its_limit_over_all_instances_and_a_share_when_cut_off() {
    let scene = scene().await;
    let urls = scene.entries.iter().map(|entry| entry.url.as_str());
    let urls: Vec<&str> = urls.collect();
    // Every instance starts with the whole burst until it has discovered the others.
    overload(&urls).await;
    let whole = overload(&urls).await;
    expect_that!(whole.sent / whole.allowed, gt(3.0));
    let share = whole.admitted / whole.allowed;
    expect_that!(share, all!(gt(0.75), lt(1.25)));
    for view in &scene.views {
        view.set(State::Cut);
    }
    let apart = overload(&urls[..2]).await;
    expect_that!(apart.sent / apart.allowed, gt(2.0));
    // One of two domains has half of the limit, and its buckets are empty.
    expect_that!(apart.admitted / apart.allowed, all!(gt(0.25), lt(0.75)));
}
