//! The bundle in force: it reaches every instance within seconds and never reverts.

use core::time::Duration;

use googletest::prelude::*;
use proc::{
    caller::{Ask, Caller},
    judge, poll,
    process::Signal,
    scene::{Builder, Scene},
};
use serde_json::json;

/// A change is in force everywhere after this long.
const IN_FORCE: Duration = Duration::from_secs(15);

const POOL: &str = "entries-api";

async fn scene() -> Scene {
    Builder::new("compas").pools(&[POOL]).start().await
}

fn pipeline(version: u64) -> String {
    format!("status-{version}")
}

async fn code(scene: &Scene, entry: usize, version: u64) -> u64 {
    let ask = Ask::new(&pipeline(version), json!({}));
    let reply = Caller::open("stewards")
        .send(&scene.entries[entry].url, &ask)
        .await;
    reply.map_or(0, |reply| reply.code())
}

async fn expect_in_force(scene: &Scene, entry: usize, version: u64) {
    let served = poll::until(IN_FORCE, async || {
        (code(scene, entry, version).await == 100).then_some(())
    });
    expect_that!(
        served.await,
        some(anything()),
        "version {version} on {entry}"
    );
}

#[gtest]
#[actix_web::test]
async fn an_instance_paused_through_three_roll_outs_takes_the_last() {
    let scene = scene().await;
    scene.entries[1].process.signal(Signal::Stop);
    for version in 2..=4 {
        scene.roll_out(version, &pipeline(version), POOL).await;
        expect_in_force(&scene, 0, version).await;
    }
    scene.entries[1].process.signal(Signal::Continue);
    expect_in_force(&scene, 1, 4).await;
    for entry in [0, 1] {
        for old in [2, 3] {
            expect_that!(code(&scene, entry, old).await, eq(202));
        }
    }
}

#[gtest]
#[actix_web::test]
async fn a_bundle_stays_in_force_through_an_outage() {
    let scene = scene().await;
    scene.roll_out(2, &pipeline(2), POOL).await;
    for entry in [0, 1] {
        expect_in_force(&scene, entry, 2).await;
    }
    for fault in [
        json!({"down": true}),
        json!({"down": false, "slow_ms": 3_000}),
    ] {
        judge::faults(&scene.platform.url, fault).await;
        for _ in 0..20 {
            for entry in [0, 1] {
                expect_that!(code(&scene, entry, 2).await, eq(100));
            }
        }
    }
    judge::faults(&scene.platform.url, json!({"slow_ms": 0})).await;
    scene.roll_out(3, &pipeline(3), POOL).await;
    for entry in [0, 1] {
        expect_in_force(&scene, entry, 3).await;
        expect_that!(code(&scene, entry, 2).await, eq(202));
    }
}

#[gtest]
#[actix_web::test]
async fn an_instance_that_starts_after_the_records_aged_out_gets_the_bundle() {
    let mut scene = scene().await;
    scene.carry().await;
    judge::faults(&scene.platform.url, json!({"keep_records": 1})).await;
    // Nobody else may hand the bundle on.
    for entry in &scene.entries {
        entry.process.signal(Signal::Kill);
    }
    let late = scene.start_entry("domain-1", "late");
    let ask = Ask::new("status", json!({}));
    let served = poll::until(IN_FORCE, async || {
        let url = &scene.entries[late].url;
        let reply = Caller::open("stewards").send(url, &ask).await.ok()?;
        (reply.code() == 100).then_some(())
    });
    expect_that!(served.await, some(anything()));
}

#[gtest]
#[actix_web::test]
async fn an_instance_that_starts_in_an_outage_gets_the_bundle_from_a_peer() {
    let mut scene = scene().await;
    scene.roll_out(2, &pipeline(2), POOL).await;
    expect_in_force(&scene, 0, 2).await;
    judge::faults(&scene.platform.url, json!({"down": true})).await;
    let late = scene.start_entry("domain-1", "late");
    expect_in_force(&scene, late, 2).await;
}
