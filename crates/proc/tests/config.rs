//! A new bundle reaches every instance within seconds and is never reverted.

use core::time::Duration;

use bundle::{Record, STREAM};
use googletest::prelude::*;
use platform::{Http, Log as _};
use proc::{
    caller::{Caller, Request},
    fakes, poll,
    process::Signal,
    scene::{Builder, Scene},
};
use serde_json::json;

/// The time within which a change must be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// The age at which instances append the configuration again, in tests that shorten it.
const CARRY_AGE: Duration = Duration::from_secs(2);

/// Carried records that may be appended between a read of the log and the next step.
const MAX_CARRIES: u64 = 4;

const POOL: &str = "entries-api";

async fn scene() -> Scene {
    Builder::new("compas").pools(&[POOL]).start().await
}

fn pipeline(version: u64) -> String {
    format!("status-{version}")
}

async fn code(scene: &Scene, entry: usize, version: u64) -> u64 {
    let request = Request::new(&pipeline(version), json!({}));
    let reply = Caller::new("stewards")
        .send(&scene.entries[entry].url, &request)
        .await;
    reply.map_or(0, |reply| reply.code())
}

async fn expect_in_force(scene: &Scene, entry: usize, version: u64) {
    let served = poll::until(IN_FORCE_TIMEOUT, async || {
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
        fakes::set_faults(&scene.platform.url, fault).await;
        for _ in 0..20 {
            for entry in [0, 1] {
                expect_that!(code(&scene, entry, 2).await, eq(100));
            }
        }
    }
    fakes::set_faults(&scene.platform.url, json!({"slow_ms": 0})).await;
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
    fakes::set_faults(&scene.platform.url, json!({"keep_records": 1})).await;
    // No other instance may pass the bundle on.
    for entry in &scene.entries {
        entry.process.signal(Signal::Kill);
    }
    let late = scene.start_entry("domain-1", "late");
    let request = Request::new("status", json!({}));
    let served = poll::until(IN_FORCE_TIMEOUT, async || {
        let url = &scene.entries[late].url;
        let reply = Caller::new("stewards").send(url, &request).await.ok()?;
        (reply.code() == 100).then_some(())
    });
    expect_that!(served.await, some(anything()));
}

/// Returns how many records the log must keep so that a carried record stays valid, once the kept
/// records are only carried ones.
async fn kept(log: &Http) -> Option<u64> {
    let page = log.read(STREAM, 0, usize::MAX).await.ok()?;
    let mut written = 0;
    let mut as_of = None;
    for record in &page.records {
        match Record::parse(&record.body).ok()? {
            Record::Carry(carry) => as_of = Some(carry.proof.as_of),
            _ => written = record.offset,
        }
    }
    let kept = page.end - as_of? + MAX_CARRIES;
    (page.end > written + 1 + kept).then_some(kept)
}

#[gtest]
#[actix_web::test]
async fn an_instance_carries_the_bundle_before_the_log_drops_it() {
    let builder = Builder::new("compas").pools(&[POOL]);
    let mut scene = builder.carry(CARRY_AGE).start().await;
    scene.roll_out(2, &pipeline(2), POOL).await;
    for entry in [0, 1] {
        expect_in_force(&scene, entry, 2).await;
    }
    // Only the instances append carried records here.
    let log = Http::open(&scene.platform.url, IN_FORCE_TIMEOUT);
    let kept = poll::until(IN_FORCE_TIMEOUT, async || kept(&log).await).await;
    assert_that!(kept, some(anything()));
    let kept = kept.unwrap_or_default();
    fakes::set_faults(&scene.platform.url, json!({"keep_records": kept})).await;
    for entry in &scene.entries {
        entry.process.signal(Signal::Kill);
    }
    let late = scene.start_entry("domain-1", "late");
    expect_in_force(&scene, late, 2).await;
}

#[gtest]
#[actix_web::test]
async fn an_instance_that_starts_in_an_outage_gets_the_bundle_from_a_peer() {
    let mut scene = scene().await;
    scene.roll_out(2, &pipeline(2), POOL).await;
    expect_in_force(&scene, 0, 2).await;
    fakes::set_faults(&scene.platform.url, json!({"down": true})).await;
    let late = scene.start_entry("domain-1", "late");
    expect_in_force(&scene, late, 2).await;
}
