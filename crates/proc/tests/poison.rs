//! Requests that crash each backend server that runs them.

use core::time::Duration;

use actix_web::rt::time::sleep;
use futures_util::future::join_all;
use googletest::prelude::*;
use proc::{
    caller::{Caller, Request},
    poll,
    scene::{Builder, Scene},
};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(10);

/// The number of servers that one request may crash.
const MAX_CRASHES: usize = 2;

const POOL: &str = "roster-sync";

async fn scene(domains: usize, servers: usize) -> Scene {
    faulty(domains, servers, &json!({"crash_on": "poison"})).await
}

async fn faulty(domains: usize, servers: usize, faults: &Value) -> Scene {
    let faults = faults.to_string();
    let builder = Builder::new("compas")
        .domains(domains)
        .servers(servers)
        .unlimited();
    let builder = builder.server_args(POOL, &["--faults", &faults, "--work-ms", "60"]);
    let scene = builder.start().await;
    scene.warm_up("adjudicators", &[check("warm")], 24).await;
    scene
}

fn check(text: &str) -> Request {
    Request::new("repertoire-check", json!({"text": text, "max_tokens": 2})).within(TIMEOUT)
}

fn crashed(scene: &mut Scene) -> usize {
    let servers = scene.servers.iter_mut();
    servers
        .filter_map(|server| server.process.exit_status())
        .count()
}

#[gtest]
#[actix_web::test]
async fn a_request_that_is_sent_again_crashes_at_most_two_servers() {
    let mut scene = scene(2, 4).await;
    let caller = Caller::new("adjudicators");
    let mut last = 0;
    for _ in 0..5 {
        for entry in &scene.entries {
            let reply = caller.send(&entry.url, &check("poison")).await.unwrap();
            expect_that!(reply.code(), not(eq(100)));
            last = reply.code();
        }
    }
    expect_that!(last, eq(306));
    expect_that!(crashed(&mut scene), le(MAX_CRASHES));
}

#[gtest]
#[actix_web::test]
async fn servers_that_hang_before_they_crash_count_as_well() {
    // Longer than an attempt waits for its first byte, so no instance is connected at the crash.
    let faults = json!({"crash_on": "poison", "crash_after_ms": 3_000});
    let mut scene = faulty(1, 5, &faults).await;
    let caller = Caller::new("adjudicators");
    let urls = scene.entries.iter().map(|entry| entry.url.clone());
    let urls: Vec<_> = urls.collect();
    let refused = poll::until(TIMEOUT * 6, async || {
        for url in &urls {
            let reply = caller.send(url, &check("poison")).await.ok()?;
            expect_that!(reply.code(), not(eq(100)));
            if reply.code() != 306 {
                return None;
            }
        }
        Some(())
    });
    expect_that!(refused.await, some(anything()));
    expect_that!(crashed(&mut scene), le(MAX_CRASHES));
}

#[gtest]
#[actix_web::test]
async fn bystanders_are_answered() {
    let mut scene = scene(1, 3).await;
    let caller = Caller::new("adjudicators");
    let url = scene.entries[0].url.clone();
    let poison = check("poison");
    let requests: Vec<_> = (0..12).map(|at| check(&format!("march {at}"))).collect();
    let bystanders = join_all(requests.iter().map(|request| caller.send(&url, request)));
    let poison = async {
        // By now the bystanders are in flight on every server.
        sleep(Duration::from_millis(20)).await;
        caller.send(&url, &poison).await
    };
    let (_, replies) = futures_util::join!(poison, bystanders);
    for reply in replies {
        let reply = reply.unwrap();
        expect_that!(reply.code(), eq(100), "{:#}", reply.body);
    }
    expect_that!(crashed(&mut scene), le(MAX_CRASHES));
}

#[gtest]
#[actix_web::test]
async fn an_innocent_suspect_is_cleared() {
    let mut scene = scene(1, 3).await;
    let caller = Caller::new("adjudicators");
    let urls: Vec<_> = scene
        .entries
        .iter()
        .map(|entry| entry.url.clone())
        .collect();
    let poison = check("poison");
    let innocent = check("march");
    let _ = futures_util::join!(
        caller.send(&urls[0], &poison),
        caller.send(&urls[0], &innocent)
    );
    for url in &urls {
        let answered = poll::until(TIMEOUT, async || {
            let reply = caller.send(url, &innocent).await.ok()?;
            (reply.code() == 100).then_some(())
        });
        expect_that!(answered.await, some(anything()));
    }
    expect_that!(crashed(&mut scene), le(MAX_CRASHES));
}
