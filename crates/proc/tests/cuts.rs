//! Failure domains that are cut off from the platform, and connections that stay silent.

use core::time::Duration;

use actix_web::rt::time::sleep;
use googletest::prelude::*;
use proc::{
    caller::{self, Caller, Request},
    fakes,
    link::State,
    poll,
    scene::{Builder, Scene},
    settle,
};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(20);
const POOL: &str = "entries-api";

async fn scene(domains: usize) -> Scene {
    let builder = Builder::new("compas")
        .domains(domains)
        .entries(1)
        .servers(2);
    let builder = builder.progress(Duration::from_millis(500)).unlimited();
    builder.pools(&[POOL, "roster-sync"]).start().await
}

fn status() -> Request {
    Request::new("status", json!({"band": "Quetzal"})).within(TIMEOUT)
}

fn pay() -> Request {
    let request = Request::new("fee-payment", json!({"band": "Quetzal"}));
    request.key(caller::key()).within(Duration::from_secs(6))
}

async fn runs(scene: &Scene, request: &Request) -> u64 {
    fakes::runs(&scene.urls(POOL), request.key.unwrap()).await
}

#[gtest]
#[actix_web::test]
async fn a_domain_cut_off_from_the_platform_serves_what_it_can() {
    for cut in [State::Cut, State::Silent] {
        let scene = scene(2).await;
        let caller = Caller::new("contest-office");
        let urls: Vec<_> = scene
            .entries
            .iter()
            .map(|entry| entry.url.as_str())
            .collect();
        scene.links[0].set(cut);
        let paid = pay();
        let refused = caller
            .send(urls[0], &paid.clone().first_use())
            .await
            .unwrap();
        let safe = any!(eq("not_run"), eq("incomplete"));
        expect_that!(refused.outcome(), safe, "{cut:?}: {:#}", refused.body);
        for _ in 0..10 {
            let reply = caller.send(urls[0], &status()).await.unwrap();
            expect_that!(reply.code(), eq(100), "{cut:?}: {:#}", reply.body);
        }
        expect_that!(runs(&scene, &paid).await, eq(0));
        let reply = settle::until_final(&caller, &urls[1..], &paid).await;
        expect_that!(reply.code(), eq(100), "{cut:?}: {:#}", reply.body);
        scene.links[0].set(State::Open);
        let reply = settle::until_final(&caller, &urls[..1], &paid).await;
        expect_that!(reply.code(), eq(100), "{cut:?}: {:#}", reply.body);
        sleep(Duration::from_secs(1)).await;
        expect_that!(runs(&scene, &paid).await, eq(1));
    }
}

#[gtest]
#[actix_web::test]
async fn a_domain_is_cut_off_while_its_instance_claims() {
    let scene = scene(2).await;
    let caller = Caller::new("contest-office");
    let urls: Vec<_> = scene
        .entries
        .iter()
        .map(|entry| entry.url.as_str())
        .collect();
    for delay_ms in [5, 10, 15, 20, 30, 50] {
        let paid = pay();
        fakes::set_faults(&scene.platform.url, json!({"slow_ms": 10})).await;
        let cutting = async {
            sleep(Duration::from_millis(delay_ms)).await;
            scene.links[0].set(State::Cut);
        };
        let (first, ()) = futures_util::join!(caller.send(urls[0], &paid), cutting);
        let first = first.unwrap();
        if matches!(first.outcome(), "not_run" | "incomplete") {
            expect_that!(
                runs(&scene, &paid).await,
                eq(0),
                "{delay_ms}: {:#}",
                first.body
            );
        }
        scene.links[0].set(State::Open);
        fakes::set_faults(&scene.platform.url, json!({"slow_ms": 0})).await;
        let last = settle::until_final(&caller, &urls, &paid).await;
        let most = u64::from(last.code() == 100);
        expect_that!(
            runs(&scene, &paid).await,
            ge(most),
            "{delay_ms}: {:#}",
            last.body
        );
        expect_that!(
            runs(&scene, &paid).await,
            le(1),
            "{delay_ms}: {:#}",
            last.body
        );
    }
}

#[gtest]
#[actix_web::test]
async fn connections_to_servers_go_silent_and_new_ones_are_used() {
    let scene = scene(1).await;
    let caller = Caller::new("contest-office");
    let url = scene.entries[0].url.as_str();
    scene.warm_up("stewards", &[status()], 24).await;
    for pool in [POOL, "roster-sync"] {
        scene.set_faults(pool, json!({"silence_open": true})).await;
    }
    let paid = pay();
    let reply = settle::until_final(&caller, &[url], &paid).await;
    expect_that!((reply.code(), runs(&scene, &paid).await), eq((100, 1)));
    for _ in 0..20 {
        let reply = caller.send(url, &status()).await.unwrap();
        expect_that!(reply.code(), eq(100), "{:#}", reply.body);
    }
}

#[gtest]
#[actix_web::test]
async fn connections_to_the_platform_go_silent_and_new_ones_are_used() {
    let scene = scene(1).await;
    let caller = Caller::new("contest-office");
    let url = scene.entries[0].url.as_str();
    for _ in 0..3 {
        fakes::set_faults(&scene.platform.url, json!({"silence_open": true})).await;
        let paid = pay();
        let reply = settle::until_final(&caller, &[url], &paid).await;
        expect_that!((reply.code(), runs(&scene, &paid).await), eq((100, 1)));
    }
    fakes::set_faults(&scene.platform.url, json!({"silence_open": true})).await;
    scene.roll_out(2, "status-2", POOL).await;
    let request = Request::new("status-2", json!({}));
    let served = poll::until(Duration::from_secs(15), async || {
        let reply = caller.send(url, &request).await.ok()?;
        (reply.code() == 100).then_some(())
    });
    expect_that!(served.await, some(anything()));
}
