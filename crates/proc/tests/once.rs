//! At-most-once calls under failure, checked with the run counts of the services.

use core::{cell::RefCell, time::Duration};

use actix_web::rt::{spawn, time::sleep};
use base::Key;
use futures_util::future::join_all;
use googletest::prelude::*;
use proc::{
    caller::{self, Caller, Reply, Request},
    fakes, metrics, poll,
    process::Signal,
    scene::{Builder, Scene},
    settle,
};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(20);
const POOL: &str = "entries-api";

/// Longer than the deadline of a payment and than every timeout towards the platform and servers.
const PAUSE: Duration = Duration::from_secs(9);

struct Payment<'a> {
    request: Request,
    caller: Caller,
    key: Key,
    scene: &'a Scene,
}

async fn scene() -> Scene {
    let builder = Builder::new("compas").servers(2).unlimited();
    builder.pools(&[POOL, "roster-sync"]).start().await
}

impl<'a> Payment<'a> {
    fn new(scene: &'a Scene) -> Self {
        let key = caller::key();
        let request = Request::new("fee-payment", json!({"band": "Quetzal"}));
        Self {
            request: request.key(key).within(Duration::from_secs(6)),
            caller: Caller::new("contest-office"),
            key,
            scene,
        }
    }

    async fn send(&self, entry: usize) -> Option<Reply> {
        let url = &self.scene.entries[entry].url;
        self.caller.send(url, &self.request).await.ok()
    }

    /// Sends the request in the background, to an instance that is about to fail.
    fn begin(&self, entry: usize) {
        let (caller, request) = (self.caller.clone(), self.request.clone());
        let url = self.scene.entries[entry].url.clone();
        spawn(async move { caller.send(&url, &request).await.ok() });
    }

    async fn runs(&self) -> u64 {
        fakes::runs(&self.scene.urls(POOL), self.key).await
    }

    async fn await_run(&self) {
        let ran = poll::until(TIMEOUT, async || (self.runs().await == 1).then_some(()));
        assert_that!(ran.await, some(anything()));
    }

    /// Waits until an append took effect whose answer is lost.
    async fn await_lost_append(&self) {
        assert_that!(self.find_lost_append().await, some(anything()));
    }

    async fn find_lost_append(&self) -> Option<()> {
        let url = &self.scene.platform.url;
        let lost = poll::until(TIMEOUT, async || {
            (fakes::count(url, "appends_lost").await > 0).then_some(())
        });
        lost.await
    }

    /// Repeats the request while the holder is gone: it must not get `not_run`, nor run again.
    async fn expect_kept(&self, runs: u64) {
        for _ in 0..3 {
            let reply = self.send(1).await.unwrap();
            expect_that!(reply.outcome(), not(eq("not_run")), "{:#}", reply.body);
            expect_that!(self.runs().await, eq(runs));
        }
    }

    /// Pauses the holder, repeats the request on the other instance, resumes the holder and waits
    /// for the outcome.
    async fn outlast_pause(&self) -> (Reply, u64) {
        let holder = &self.scene.entries[0].process;
        holder.signal(Signal::Stop);
        let other = self.send(1).await.unwrap();
        expect_that!(other.outcome(), not(eq("not_run")), "{:#}", other.body);
        sleep(PAUSE).await;
        holder.signal(Signal::Continue);
        self.settle(&[1, 0]).await
    }

    /// Repeats the request until the outcome is final, and counts the runs.
    async fn settle(&self, entries: &[usize]) -> (Reply, u64) {
        let url = |at: &usize| self.scene.entries[*at].url.as_str();
        let urls: Vec<_> = entries.iter().map(url).collect();
        let reply = settle::until_final(&self.caller, &urls, &self.request).await;
        (reply, self.runs().await)
    }
}

async fn platform(scene: &Scene, change: Value) {
    fakes::set_faults(&scene.platform.url, change).await;
}

/// Expects as many runs as the outcome states; `unknown` allows for at most one.
fn expect_truth(reply: &Reply, runs: u64, what: &str) {
    match reply.outcome() {
        "answered" => expect_that!(runs, eq(1), "{what}: {:#}", reply.body),
        "incomplete" | "not_run" => expect_that!(runs, eq(0), "{what}: {:#}", reply.body),
        _ => expect_that!(runs, le(1), "{what}: {:#}", reply.body),
    }
}

#[gtest]
#[actix_web::test]
async fn append_answers_are_lost() {
    let scene = scene().await;
    for fault in ["lose_answers", "hang_appends", "hang_appends_before"] {
        let payment = Payment::new(&scene);
        platform(&scene, json!({fault: 2})).await;
        let first = payment.send(0).await.unwrap();
        expect_truth(&first, payment.runs().await, fault);
        let (last, runs) = payment.settle(&[1, 0]).await;
        expect_that!(
            (last.code(), runs),
            eq((100, 1)),
            "{fault}: {:#}",
            last.body
        );
    }
}

#[gtest]
#[actix_web::test]
async fn an_append_is_in_doubt_when_the_platform_goes_down() {
    let scene = scene().await;
    let payment = Payment::new(&scene);
    platform(&scene, json!({"hang_appends": 1})).await;
    let first = RefCell::default();
    let sent = async {
        first.replace(payment.send(0).await);
    };
    let outage = async {
        let lost = payment.find_lost_append().await;
        assert_that!(lost, some(anything()), "answer: {:#?}", first.borrow());
        platform(&scene, json!({"down": true})).await;
    };
    futures_util::join!(sent, outage);
    expect_truth(&first.take().unwrap(), payment.runs().await, "down");
    platform(&scene, json!({"down": false})).await;
    let (last, runs) = payment.settle(&[1, 0]).await;
    expect_truth(&last, runs, "back");
}

#[gtest]
#[actix_web::test]
async fn many_instances_get_one_key_at_once() {
    let scene = scene().await;
    for _ in 0..10 {
        let payment = Payment::new(&scene);
        let replies = join_all([0, 1, 0, 1].map(|entry| payment.send(entry))).await;
        for reply in replies.iter().flatten() {
            expect_that!(reply.outcome(), not(eq("not_run")), "{:#}", reply.body);
        }
        let (last, runs) = payment.settle(&[0, 1]).await;
        expect_that!((last.code(), runs), eq((100, 1)));
    }
}

#[gtest]
#[actix_web::test]
async fn the_holder_is_paused_between_claim_and_call() {
    let scene = scene().await;
    let payment = Payment::new(&scene);
    platform(&scene, json!({"hang_appends": 1})).await;
    payment.begin(0);
    payment.await_lost_append().await;
    let (last, runs) = payment.outlast_pause().await;
    expect_truth(&last, runs, "resumed");
    sleep(Duration::from_secs(1)).await;
    expect_that!(payment.runs().await, eq(runs));
}

/// Payments ran after their deadline, once their paused instance went on, though repeats had got a final answer.
#[gtest]
#[actix_web::test]
async fn calls_are_not_sent_after_their_deadline() {
    let scene = scene().await;
    let holder = &scene.entries[0];
    // The claims get into the log, and the answers to their appends arrive during the pause.
    platform(&scene, json!({"append_answer_delay_ms": 800})).await;
    let answered = async || {
        let labels = r#"end="answered",pool="roster-sync""#;
        metrics::read(&holder.url, "attempts_total", labels).await
    };
    let before = answered().await;
    // The keys spread over both owners of the ledger.
    let payments: Vec<_> = (0..8).map(|_| Payment::new(&scene)).collect();
    for payment in &payments {
        payment.begin(0);
    }
    let claimed = poll::until(TIMEOUT, async || {
        (answered().await >= before + payments.len() as u64).then_some(())
    });
    assert_that!(claimed.await, some(anything()));
    // A process that is paused while it is busy handles sockets before timers when it goes on.
    for _ in 0..200 {
        let url = holder.url.clone();
        spawn(async move {
            loop {
                metrics::read(&url, "attempts_total", "").await;
            }
        });
    }
    sleep(Duration::from_millis(200)).await;
    holder.process.signal(Signal::Stop);
    sleep(PAUSE).await;
    let runs = join_all(payments.iter().map(Payment::runs)).await;
    holder.process.signal(Signal::Continue);
    sleep(Duration::from_secs(2)).await;
    let runs_later = join_all(payments.iter().map(Payment::runs)).await;
    expect_that!(runs_later, eq(&runs));
}

#[gtest]
#[actix_web::test]
async fn the_holder_is_paused_during_the_call() {
    let scene = scene().await;
    let payment = Payment::new(&scene);
    scene.set_faults(POOL, json!({"slow_ms": 500})).await;
    payment.begin(0);
    payment.await_run().await;
    let (last, runs) = payment.outlast_pause().await;
    expect_that!(runs, eq(1), "{:#}", last.body);
}

#[gtest]
#[actix_web::test]
async fn the_holder_is_killed_before_the_call() {
    let scene = scene().await;
    let payment = Payment::new(&scene);
    platform(&scene, json!({"hang_appends": 1})).await;
    payment.begin(0);
    payment.await_lost_append().await;
    scene.entries[0].process.signal(Signal::Kill);
    payment.expect_kept(0).await;
}

#[gtest]
#[actix_web::test]
async fn the_holder_is_killed_during_the_call() {
    let scene = scene().await;
    let payment = Payment::new(&scene);
    scene.set_faults(POOL, json!({"slow_ms": 1_000})).await;
    payment.begin(0);
    payment.await_run().await;
    scene.entries[0].process.signal(Signal::Kill);
    payment.expect_kept(1).await;
}

#[gtest]
#[actix_web::test]
async fn the_holder_is_killed_after_the_answer() {
    let scene = scene().await;
    let payment = Payment::new(&scene);
    let before = fakes::count(&scene.platform.url, "appends").await;
    let first = payment.send(0).await.unwrap();
    expect_that!(first.code(), eq(100));
    // The claim and the outcome: until both are in the log, no other instance can know the answer.
    let recorded = poll::until(TIMEOUT, async || {
        let appends = fakes::count(&scene.platform.url, "appends").await;
        (appends >= before + 2).then_some(())
    });
    assert_that!(recorded.await, some(anything()));
    scene.entries[0].process.signal(Signal::Kill);
    let again = payment.send(1).await.unwrap();
    expect_that!(
        again.body["output"],
        eq(&first.body["output"]),
        "{:#}",
        again.body
    );
    expect_that!(payment.runs().await, eq(1));
}

#[gtest]
#[actix_web::test]
async fn the_platform_is_down_and_comes_back() {
    let scene = scene().await;
    let payment = Payment::new(&scene);
    platform(&scene, json!({"down": true})).await;
    // Without the ledger, only the caller knows that a key is new.
    let repeat = payment.send(0).await.unwrap();
    expect_that!(repeat.code(), eq(401), "{:#}", repeat.body);
    let new = Payment::new(&scene);
    let request = new.request.clone().first_use();
    let refused = new
        .caller
        .send(&scene.entries[0].url, &request)
        .await
        .unwrap();
    expect_that!(
        refused.outcome(),
        any!(eq("incomplete"), eq("not_run")),
        "{:#}",
        refused.body
    );
    expect_that!(new.runs().await, eq(0));
    expect_that!(refused.body["retry_after_ms"].as_u64(), some(gt(0)));
    let status = Request::new("status", json!({"band": "Quetzal"}));
    let status = payment
        .caller
        .send(&scene.entries[0].url, &status)
        .await
        .unwrap();
    expect_that!(status.code(), eq(100), "{:#}", status.body);
    expect_that!(payment.runs().await, eq(0));
    platform(&scene, json!({"down": false})).await;
    let (last, runs) = payment.settle(&[1, 0]).await;
    expect_that!((last.code(), runs), eq((100, 1)));
}

#[gtest]
#[actix_web::test]
async fn the_platform_is_slow_and_recovers() {
    let scene = scene().await;
    for slow_ms in [300, 1_500] {
        let payment = Payment::new(&scene);
        platform(&scene, json!({"slow_ms": slow_ms})).await;
        let first = payment.send(0).await.unwrap();
        expect_truth(&first, payment.runs().await, "slow");
        platform(&scene, json!({"slow_ms": 0})).await;
        let (last, runs) = payment.settle(&[1, 0]).await;
        expect_truth(&last, runs, "after");
        expect_that!(runs, eq(1), "{slow_ms} {:#}", last.body);
    }
}

/// Waits until the instance uses every server of the pool again after their failures.
async fn await_use(scene: &Scene) {
    let caller = Caller::new("stewards");
    let request = Request::new("status", json!({"band": "Quetzal"}));
    let mut in_a_row = 0;
    let used = poll::until(TIMEOUT, async || {
        let reply = caller.send(&scene.entries[0].url, &request).await.ok()?;
        in_a_row = if reply.code() == 100 { in_a_row + 1 } else { 0 };
        (in_a_row >= 8).then_some(())
    });
    assert_that!(used.await, some(anything()));
}

#[gtest]
#[actix_web::test]
async fn a_call_without_an_answer_is_never_repeated() {
    let scene = scene().await;
    for (fault, runs) in [
        ("silent", 0),
        ("silent_after_run", 1),
        ("close_after_read", 0),
        ("close_after_run", 1),
        ("cross_answers", 1),
    ] {
        let payment = Payment::new(&scene);
        await_use(&scene).await;
        scene.set_faults(POOL, json!({fault: true})).await;
        let first = payment.send(0).await.unwrap();
        expect_that!(first.outcome(), eq("unknown"), "{fault}: {:#}", first.body);
        scene.set_faults(POOL, json!({fault: false})).await;
        let (last, counted) = payment.settle(&[1, 0]).await;
        expect_that!(last.outcome(), eq("unknown"), "{fault}: {:#}", last.body);
        expect_that!(counted, eq(runs), "{fault}");
    }
}

#[gtest]
#[actix_web::test]
async fn a_call_that_busy_servers_refused_did_not_run_and_may_come_again() {
    let scene = scene().await;
    let payment = Payment::new(&scene);
    scene.set_faults(POOL, json!({"down": true})).await;
    expect_refused(&payment).await;
    scene.set_faults(POOL, json!({"down": false})).await;
    let (last, runs) = payment.settle(&[1, 0]).await;
    expect_that!((last.code(), runs), eq((100, 1)), "{:#}", last.body);
}

#[gtest]
#[actix_web::test]
async fn a_call_that_leaving_servers_refused_did_not_run() {
    let scene = scene().await;
    let payment = Payment::new(&scene);
    scene.set_faults(POOL, json!({"leaving": true})).await;
    expect_refused(&payment).await;
}

/// The roster stage ran before the refusal, so the outcome of the request is not `not_run`.
async fn expect_refused(payment: &Payment<'_>) {
    let first = payment.send(0).await.unwrap();
    expect_that!(first.outcome(), eq("incomplete"), "{:#}", first.body);
    expect_that!(payment.runs().await, eq(0));
}
