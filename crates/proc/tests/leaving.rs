//! Planned stops and leaving servers: requests in flight complete, and no new ones arrive.

use core::time::Duration;

use actix_web::rt::{spawn, time::sleep};
use futures_util::future::join_all;
use googletest::prelude::*;
use proc::{
    caller::{self, Caller, Events, Reply, Request},
    fakes, poll,
    process::Signal,
    scene::{Builder, Scene},
};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(20);

/// The time after which a leaving server must get no new work.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(3);

const POOLS: [&str; 4] = ["entries-api", "limpet-pool", "notify-bands", "roster-sync"];

/// Requests to each instance before a test, so that it has used every server.
const WARM_UP: usize = 24;

async fn scene() -> Scene {
    let scene = start().await;
    scene
        .warm_up("stewards", &[status(), summary(1)], WARM_UP)
        .await;
    scene
}

async fn start() -> Scene {
    let builder = Builder::new("compas").servers(2).unlimited();
    let builder = builder.server_args("entries-api", &["--work-ms", "150"]);
    builder
        .pools(&[&POOLS[..], &["draw-board"]].concat())
        .start()
        .await
}

fn status() -> Request {
    Request::new("status", json!({"band": "Quetzal"})).within(TIMEOUT)
}

fn pay() -> Request {
    Request::new("fee-payment", json!({"band": "Quetzal"}))
        .key(caller::key())
        .within(Duration::from_secs(9))
}

fn summary(tokens: u64) -> Request {
    let input = json!({"band": "Quetzal", "max_tokens": tokens});
    Request::new("scoring-summary", input).within(TIMEOUT)
}

/// The answers to a mix of concurrent requests.
struct Load {
    replies: Vec<Option<Reply>>,
    streams: Vec<std::result::Result<Events, Reply>>,
}

async fn load(url: String, count: usize) -> Load {
    let caller = Caller::new("adjudicators");
    let requests: Vec<Request> = (0..count)
        .map(|at| if at % 4 == 0 { pay() } else { status() })
        .collect();
    let replies = join_all(
        requests
            .iter()
            .map(async |request| caller.send(&url, request).await.ok()),
    );
    let whole = summary(200);
    let streams = (0..count / 4).map(|_| caller.stream(&url, &whole, usize::MAX));
    let (replies, streams) = futures_util::join!(replies, join_all(streams));
    Load { replies, streams }
}

fn expect_nothing_cut(load: &Load) {
    for reply in &load.replies {
        let code = reply.as_ref().map_or(0, Reply::code);
        expect_that!(code, eq(100), "{reply:#?}");
    }
    for stream in &load.streams {
        let whole = stream.as_ref().is_ok_and(Events::is_complete);
        expect_that!(whole, eq(true), "{stream:#?}");
    }
}

#[gtest]
#[actix_web::test]
async fn stopping_instances_cut_nothing_in_flight() {
    let mut scene = scene().await;
    let urls: Vec<_> = scene
        .entries
        .iter()
        .map(|entry| entry.url.clone())
        .collect();
    let loads: Vec<_> = urls
        .iter()
        .map(|url| spawn(load(url.clone(), 16)))
        .collect();
    sleep(Duration::from_millis(60)).await;
    for entry in &scene.entries {
        entry.process.signal(Signal::Terminate);
        // A second signal must not cut requests either.
        entry.process.signal(Signal::Terminate);
    }
    for load in loads {
        expect_nothing_cut(&load.await.unwrap());
    }
    for entry in &mut scene.entries {
        let exit = entry.process.wait(TIMEOUT).await;
        expect_that!(exit.and_then(|exit| exit.code()), some(eq(0)));
    }
}

#[gtest]
#[actix_web::test]
async fn stopping_servers_cut_nothing_in_flight() {
    let mut scene = scene().await;
    let url = scene.entries[0].url.clone();
    let first = spawn(load(url.clone(), 12));
    sleep(Duration::from_millis(60)).await;
    let mut stopped = Vec::new();
    for pool in ["entries-api", "limpet-pool"] {
        let at = scene
            .servers
            .iter()
            .position(|server| server.pool == pool)
            .unwrap();
        scene.servers[at].process.signal(Signal::Terminate);
        stopped.push(at);
    }
    expect_nothing_cut(&first.await.unwrap());
    for _ in 0..5 {
        expect_nothing_cut(&load(url.clone(), 4).await);
    }
    for at in stopped {
        let exit = scene.servers[at].process.wait(TIMEOUT).await;
        expect_that!(exit.and_then(|exit| exit.code()), some(eq(0)));
    }
}

async fn calls(url: &str) -> u64 {
    fakes::count(url, "calls").await + fakes::count(url, "refused_leaving").await
}

async fn a_leaving_server_gets_no_new_work(platform: serde_json::Value) {
    let scene = scene().await;
    let leaving = scene.urls("entries-api")[0].clone();
    fakes::set_faults(&scene.platform.url, platform).await;
    fakes::set_faults(&leaving, json!({"leaving": true})).await;
    let caller = Caller::new("stewards");
    let until = std::time::Instant::now() + LEAVING_TIMEOUT;
    let mut asked = 0;
    while std::time::Instant::now() < until {
        for entry in &scene.entries {
            let reply = caller.send(&entry.url, &status()).await.unwrap();
            expect_that!(reply.code(), eq(100), "request {asked}: {:#}", reply.body);
            asked += 1;
        }
    }
    let before = calls(&leaving).await;
    for _ in 0..10 {
        for entry in &scene.entries {
            let reply = caller.send(&entry.url, &status()).await.unwrap();
            expect_that!(reply.code(), eq(100), "{:#}", reply.body);
        }
    }
    expect_that!(calls(&leaving).await, eq(before));
}

#[gtest]
#[actix_web::test]
async fn a_leaving_server_gets_no_new_work_with_the_list_frozen() {
    a_leaving_server_gets_no_new_work(json!({"list_frozen": true})).await;
}

#[gtest]
#[actix_web::test]
async fn a_leaving_server_gets_no_new_work_with_the_platform_down() {
    a_leaving_server_gets_no_new_work(json!({"down": true})).await;
}

#[gtest]
#[actix_web::test]
async fn a_killed_server_is_avoided_while_the_list_still_has_it() {
    let scene = scene().await;
    let server = scene.pool("entries-api")[0];
    server.process.signal(Signal::Kill);
    let caller = Caller::new("stewards");
    let answered = poll::until(TIMEOUT, async || {
        for entry in &scene.entries {
            let reply = caller.send(&entry.url, &status()).await.ok()?;
            if reply.code() != 100 {
                return None;
            }
        }
        Some(())
    });
    assert_that!(answered.await, some(anything()));
    let mut failed = 0;
    for _ in 0..20 {
        for entry in &scene.entries {
            let reply = caller.send(&entry.url, &status()).await.unwrap();
            failed += u64::from(reply.code() != 100);
        }
    }
    expect_that!(failed, eq(0));
}
