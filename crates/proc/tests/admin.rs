//! The administration interface of running instances: operations reach every instance, one operator
//! wins a race, and outages are reported as such.

#[path = "../../admin/tests/fixture/schema.rs"]
mod schema;

use core::time::Duration;

use awc::{Client, http::Method};
use base::Digest;
use bundle::{Record, sign::Key};
use ctl::{Session, View};
use googletest::prelude::*;
use platform::Http;
use proc::{
    caller::now,
    fakes, poll,
    scene::{Builder, Scene},
};
use schema::mismatches;
use serde_json::{Value, json};

/// The time within which a change must be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// The timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(30);

/// More records than a test appends.
const MAX_RECORDS: usize = 1_000;

const POOL: &str = "entries-api";

async fn scene() -> Scene {
    Builder::new("compas")
        .domains(2)
        .pools(&[POOL])
        .start()
        .await
}

/// An operator with a key and the log that signatures refer to.
struct Operator<'a> {
    key: Key,
    scene: &'a Scene,
    log: Http,
}

impl<'a> Operator<'a> {
    fn open(scene: &'a Scene, role: &str) -> Self {
        Self {
            key: Key::example(role),
            scene,
            log: Http::open(&scene.platform.url, TIMEOUT),
        }
    }

    fn session(&self) -> Session<'_, Http> {
        Session {
            log: &self.log,
            roots: ["author", "steward"]
                .map(|role| Key::example(role).public())
                .into(),
            dry_run: true,
            appender: "tests".into(),
        }
    }

    /// Sends a request to an instance and returns the status, whether it has a `Retry-After` header,
    /// and the body.
    async fn send(&self, entry: usize, method: &str, path: &str, body: &str) -> (u16, bool, Value) {
        let target = format!("/admin/v1{path}");
        let header = ctl::request::sign(&self.key, method, &target, body, now());
        let url = format!("{}{target}", self.scene.entries[entry].url);
        let method = Method::from_bytes(method.as_bytes()).expect("a method");
        let sent = Client::builder().timeout(TIMEOUT).finish();
        let sent = sent
            .request(method, url)
            .insert_header(("Authorization", header.to_string()));
        let mut reply = sent.send_body(body.to_owned()).await.expect("an answer");
        let retry_after = reply.headers().contains_key("Retry-After");
        let body = reply.json().await.expect("JSON");
        (reply.status().as_u16(), retry_after, body)
    }

    async fn get(&self, entry: usize, path: &str) -> Value {
        self.send(entry, "GET", path, "").await.2
    }

    async fn act(&self, entry: usize, path: &str, record: &Record) -> (u16, bool, Value) {
        self.send(entry, "POST", path, &record.to_json()).await
    }

    async fn publish(&self, version: u64) -> Record {
        let text = include_str!("../../../examples/compas.toml");
        let text = text.replace("\nversion = 1\n", &format!("\nversion = {version}\n"));
        let done = ctl::publish(&self.session(), "bundle", &text, &self.key).await;
        done.expect("a proposal").record
    }

    async fn sign_off(&self, digest: Digest) -> Record {
        let done = ctl::sign_off(&self.session(), digest, &self.key).await;
        done.expect("a sign-off").record
    }

    async fn roll_out(&self, digest: Digest) -> Record {
        let session = self.session();
        let view = View::read(&self.log, &session.roots).await.expect("a view");
        let base = view.projection.position().map(|now| now.digest);
        let done = ctl::roll_out(&session, digest, base, &self.key, 1).await;
        done.expect("a roll-out").record
    }

    /// Returns the number of operators' records in the log; instances add their own at any time.
    async fn records(&self) -> usize {
        let page = ctl::audit::read(&self.log, &self.session().roots, 0, MAX_RECORDS).await;
        page.expect("the log is read").entries.len()
    }
}

/// Publishes a version over one instance and signs it off over another.
async fn propose(author: &Operator<'_>, steward: &Operator<'_>, version: u64) -> Digest {
    let record = author.publish(version).await;
    let (status, _, body) = author.act(0, "/publish", &record).await;
    expect_that!(status, eq(200), "{body}");
    let digest = Digest::parse(body["digest"].as_str().expect("a digest")).expect("a digest");
    let record = steward.sign_off(digest).await;
    let (status, _, body) = steward.act(1, "/sign-off", &record).await;
    expect_that!(status, eq(200), "{body}");
    digest
}

async fn expect_everywhere(operator: &Operator<'_>, digest: Digest) {
    for entry in 0..operator.scene.entries.len() {
        let there = poll::until(IN_FORCE_TIMEOUT, async || {
            let seen = operator.get(entry, "/pipelines").await;
            (seen["bundle"]["digest"] == json!(digest)).then_some(())
        });
        expect_that!(there.await, some(anything()), "{digest} on {entry}");
    }
}

#[gtest]
#[actix_web::test]
async fn a_version_rolled_out_over_one_instance_is_in_force_and_in_the_trail_of_all() {
    let scene = scene().await;
    let author = Operator::open(&scene, "author");
    let steward = Operator::open(&scene, "steward");
    let digest = propose(&author, &steward, 2).await;
    let record = author.roll_out(digest).await;

    // Neither an unknown operator nor another signer can send the author's record.
    let before = author.records().await;
    let stranger = Operator::open(&scene, "stranger");
    for (operator, code) in [(&stranger, 600), (&steward, 602)] {
        let (_, _, body) = operator.act(0, "/roll-out", &record).await;
        expect_that!(body["code"], eq(&json!(code)));
    }
    expect_that!(author.records().await, eq(before));

    let (status, _, body) = author.act(0, "/roll-out", &record).await;
    expect_that!(status, eq(200), "{body}");
    expect_everywhere(&author, digest).await;
    for entry in 0..scene.entries.len() {
        let trail = steward.get(entry, "/audit?from=3").await;
        let acts = trail["entries"].as_array().expect("entries").iter();
        let acts: Vec<_> = acts
            .map(|act| {
                let by = act["by"].as_str().unwrap_or_default();
                let instance = by.split('@').next().unwrap_or_default();
                json!([act["who"], act["act"], act["outcome"], instance])
            })
            .collect();
        let entries = &scene.entries;
        let wanted = [
            json!(["author", "publish", "accepted", entries[0].name]),
            json!(["steward", "sign_off", "accepted", entries[1].name]),
            json!(["author", "roll_out", "accepted", entries[0].name]),
        ];
        expect_that!(acts, eq(&wanted), "on {entry}");
        expect_that!(trail["domain"], eq(&json!(entries[entry].domain)));
    }
}

#[gtest]
#[actix_web::test]
async fn a_race_over_two_instances_has_one_winner_everywhere() {
    let scene = scene().await;
    let author = Operator::open(&scene, "author");
    let steward = Operator::open(&scene, "steward");
    let first = propose(&author, &steward, 2).await;
    let second = propose(&author, &steward, 3).await;
    let (one, other) = (author.roll_out(first).await, steward.roll_out(second).await);
    let (one, other) = futures_util::join!(
        author.act(0, "/roll-out", &one),
        steward.act(3, "/roll-out", &other),
    );
    let (digest, lost, winner) = match (one.0, other.0) {
        (200, _) => (first, other, "author won with version 2"),
        _ => (second, one, "steward won with version 3"),
    };
    expect_that!(lost.2["code"], eq(&json!(609)), "{}", lost.2);
    expect_that!(lost.2["detail"].as_str(), some(contains_substring(winner)));
    expect_everywhere(&author, digest).await;
}

#[gtest]
#[actix_web::test]
async fn an_outage_and_a_lost_answer_are_told_as_what_they_are() {
    let scene = scene().await;
    let author = Operator::open(&scene, "author");
    let record = author.publish(2).await;
    let before = author.records().await;
    fakes::set_faults(&scene.platform.url, json!({"down": true})).await;
    let (status, retry_after, body) = author.act(0, "/publish", &record).await;
    expect_that!((status, retry_after), eq((503, true)));
    expect_that!(body["code"], eq(&json!(610)));
    expect_that!(body["outcome"], eq(&json!("not_run")));
    // Local state is still shown during the outage.
    let pools = author.get(0, "/pools").await;
    expect_that!(pools["bundle"]["version"], eq(&json!(1)));
    fakes::set_faults(&scene.platform.url, json!({"down": false})).await;
    expect_that!(author.records().await, eq(before));

    fakes::set_faults(&scene.platform.url, json!({"lose_answers": 1})).await;
    let (status, _, body) = author.act(0, "/publish", &record).await;
    expect_that!(status, eq(200), "{body}");
    expect_that!(body["offset"].as_u64(), some(anything()));
    let (_, _, body) = author.act(1, "/publish", &record).await;
    expect_that!(body["repeated"], eq(&json!(true)));
    expect_that!(author.records().await, eq(before + 1));
}

#[gtest]
#[actix_web::test]
async fn every_view_of_a_running_instance_has_the_fields_that_are_described() {
    let scene = scene().await;
    let author = Operator::open(&scene, "author");
    let described = author.get(0, "/openapi.json").await;
    let schemas = &described["components"]["schemas"];
    let mut views = 0;
    for (path, item) in described["paths"].as_object().expect("paths") {
        let Some(operation) = item.get("get") else {
            continue;
        };
        let path = path.strip_prefix("/admin/v1").expect("a route");
        let (status, _, body) = author.send(1, "GET", path, "").await;
        expect_that!(status, eq(200), "{path}");
        let schema = &operation["responses"]["200"]["content"]["application/json"]["schema"];
        expect_that!(
            mismatches(path, &body, schema, schemas),
            is_empty(),
            "{body}"
        );
        views += 1;
    }
    expect_that!(views, eq(10));
    let pools = author.get(1, "/pools").await;
    let pools = pools["pools"].as_array().expect("pools").iter();
    let mut known = pools.filter(|pool| pool["name"] == POOL);
    let servers = known.next().map(|pool| pool["servers"].clone());
    let servers = servers.and_then(|servers| servers.as_array().cloned());
    expect_that!(servers, some(len(eq(2))));
}
