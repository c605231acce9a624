//! Failure domains cut off from each other, with and without the platform.

use core::time::Duration;

use futures_util::future::join_all;
use googletest::prelude::*;
use proc::{
    caller::{self, Caller, Reply, Request},
    fakes,
    link::State,
    poll,
    scene::{Builder, Scene},
    settle,
};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(20);
const POOL: &str = "entries-api";

/// The number of keys sent to both sides of a partition.
const KEYS: usize = 8;

async fn scene() -> Scene {
    let builder = Builder::new("compas").domains(2).entries(1).servers(1);
    let builder = builder.progress(Duration::from_millis(500)).partitionable();
    let pools = [POOL, "roster-sync"];
    builder.unlimited().pools(&pools).start().await
}

fn pay() -> Request {
    let request = Request::new("fee-payment", json!({"band": "Quetzal"}));
    request.key(caller::key()).within(Duration::from_secs(6))
}

async fn runs(scene: &Scene, request: &Request) -> u64 {
    fakes::runs(&scene.urls(POOL), request.key.unwrap()).await
}

fn urls(scene: &Scene) -> Vec<&str> {
    let urls = scene.entries.iter().map(|entry| entry.url.as_str());
    urls.collect()
}

/// Sets whether the first domain's server of the pool is down.
async fn set_down(scene: &Scene, down: bool) {
    fakes::set_faults(&scene.urls(POOL)[0], json!({"down": down})).await;
}

/// Waits until the first domain, with its own servers down, can or can't use the other domain's.
async fn await_remote(scene: &Scene, wanted: bool) {
    let caller = Caller::new("contest-office");
    let request = Request::new("status", json!({"band": "Quetzal"})).within(Duration::from_secs(2));
    set_down(scene, true).await;
    let reached = poll::until(TIMEOUT, async || {
        let reply = caller.send(&scene.entries[0].url, &request).await.ok()?;
        ((reply.code() == 100) == wanted).then_some(())
    });
    expect_that!(reached.await, some(anything()), "reached: {wanted}");
    set_down(scene, false).await;
    let restored = poll::until(TIMEOUT, async || {
        let reply = caller.send(&scene.entries[0].url, &request).await.ok()?;
        (reply.code() == 100).then_some(())
    });
    expect_that!(restored.await, some(anything()));
}

fn cut(scene: &Scene, state: State) {
    for view in &scene.views {
        view.set(state);
    }
}

/// Sends one key to both sides at once.
async fn send_to_both(scene: &Scene, request: &Request) -> Vec<Reply> {
    let caller = Caller::new("contest-office");
    let sent = urls(scene).into_iter().map(|url| caller.send(url, request));
    join_all(sent).await.into_iter().flatten().collect()
}

/// `not_run` is about the key. `incomplete` is about the request: a request that held the claim and
/// could not call reports it and releases the claim, after which the other side's request may run.
fn expect_truth(replies: &[Reply], ran: u64) {
    let said = |reply: &Reply, outcome: &str| reply.outcome() == outcome;
    let not_run = replies.iter().any(|reply| said(reply, "not_run"));
    expect_that!(not_run && ran > 0, eq(false), "{replies:#?}");
    let sure = |reply: &Reply| said(reply, "not_run") || said(reply, "incomplete");
    let nobody = replies.len() == 2 && replies.iter().all(sure);
    expect_that!(nobody && ran > 0, eq(false), "{replies:#?}");
}

/// Sends keys to both sides of a partition, heals it, and counts the runs again.
///
/// A cut link accepts a connection and closes it, so that a call over it may have run. Such a
/// key ends as unknown on both sides.
async fn expect_at_most_one_run(scene: &Scene, platform: State) {
    let caller = Caller::new("contest-office");
    let mut requests = Vec::new();
    for _ in 0..KEYS {
        let request = pay();
        let replies = send_to_both(scene, &request).await;
        let ran = runs(scene, &request).await;
        expect_that!(ran, le(1), "{replies:#?}");
        expect_truth(&replies, ran);
        requests.push((request, ran));
    }
    scene.links[0].set(State::Open);
    cut(scene, State::Open);
    let mut answered = 0;
    for (request, ran) in requests {
        let mut codes = Vec::new();
        for url in urls(scene) {
            let last = settle::until_final(&caller, &[url], &request).await;
            codes.push(last.code());
        }
        expect_that!(codes[0], eq(codes[1]), "{platform:?}");
        let after = runs(scene, &request).await;
        expect_that!(after, all!(ge(ran), le(1)), "{platform:?}");
        if codes[0] == 100 {
            expect_that!(after, eq(1), "{platform:?}");
            answered += 1;
        }
    }
    expect_that!(answered, gt(0), "{platform:?}");
}

#[gtest]
#[actix_web::test]
async fn two_domains_cut_off_from_each_other_run_a_key_once() {
    let scene = scene().await;
    await_remote(&scene, true).await;
    for platform in [State::Open, State::Cut] {
        cut(&scene, State::Cut);
        await_remote(&scene, false).await;
        scene.links[0].set(platform);
        expect_at_most_one_run(&scene, platform).await;
        await_remote(&scene, true).await;
    }
}
