//! Tests of the platform's stand-in through the client of the crate `platform`.

use core::time::Duration;

use awc::Client;
use base::{Incarnation, Name, Stamp};
use fake::{Handle, configs::platform::Config};
use googletest::prelude::*;
use platform::{Http, Instance, Log as _, list::State, log::Error};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_millis(400);

fn start(config: Config) -> (Handle, Http) {
    let handle = fake::platform::bind(config).unwrap();
    let client = Http::open(&handle.url(), TIMEOUT);
    (handle, client)
}

async fn set_faults(handle: &Handle, change: Value) {
    let url = format!("{}/faults", handle.url());
    let response = Client::new().put(url).send_json(&change).await.unwrap();
    assert_that!(response.status().as_u16(), eq(200));
}

async fn bodies(client: &Http) -> Vec<String> {
    let page = client.read("s", 0, 100).await.unwrap();
    page.records.into_iter().map(|record| record.body).collect()
}

#[actix_web::test]
async fn appends_get_offsets_and_are_read_back() {
    let (_handle, client) = start(Config::default());
    assert_that!(client.append("s", "a".into()).await, ok(eq(&0)));
    assert_that!(client.append("s", "b".into()).await, ok(eq(&1)));
    assert_that!(client.append("other", "c".into()).await, ok(eq(&0)));
    let page = client.read("s", 1, 10).await.unwrap();
    assert_that!((page.first, page.end), eq((0, 2)));
    assert_that!(page.records[0].offset, eq(1));
    assert_that!(bodies(&client).await, container_eq(["a", "b"]));
}

#[actix_web::test]
async fn an_append_without_an_answer_has_taken_effect_unless_it_hung_before() {
    let (handle, client) = start(Config::default());
    for change in [json!({"lose_answers": 1}), json!({"hang_appends": 1})] {
        set_faults(&handle, change).await;
        let lost = client.append("s", "a".into()).await;
        assert_that!(matches!(lost, Err(Error::Unanswered(_))), eq(true));
    }
    set_faults(&handle, json!({"hang_appends_before": 1})).await;
    let lost = client.append("s", "b".into()).await;
    assert_that!(matches!(lost, Err(Error::Unanswered(_))), eq(true));
    assert_that!(bodies(&client).await, container_eq(["a", "a"]));
}

#[actix_web::test]
async fn refused_appends_have_no_effect() {
    let (handle, client) = start(Config {
        appends_per_second: 0.1,
        append_burst: 1.0,
        ..Config::default()
    });
    assert_that!(client.append("s", "a".into()).await, ok(eq(&0)));
    let limited = client.append("s", "b".into()).await;
    assert_that!(matches!(limited, Err(Error::Refused(_))), eq(true));
    set_faults(&handle, json!({"down": true})).await;
    let down = client.append("s", "c".into()).await;
    assert_that!(matches!(down, Err(Error::Refused(_))), eq(true));
    set_faults(&handle, json!({"down": false})).await;
    assert_that!(bodies(&client).await, container_eq(["a"]));
}

#[actix_web::test]
async fn old_records_are_gone() {
    let (handle, client) = start(Config::default());
    for body in ["a", "b", "c"] {
        client.append("s", body.into()).await.unwrap();
    }
    set_faults(&handle, json!({"keep_records": 1})).await;
    let page = client.read("s", 0, 10).await.unwrap();
    assert_that!((page.first, page.end), eq((2, 3)));
    assert_that!(bodies(&client).await, container_eq(["c"]));
}

#[actix_web::test]
async fn the_list_lags_and_freezes() {
    let (handle, client) = start(Config::default());
    let instance = Instance {
        incarnation: Incarnation::new("draw-1", Stamp::from_millis(5)),
        pool: Name::from("draw-board"),
        domain: Name::from("north"),
        address: "127.0.0.1:9".parse().unwrap(),
        state: State::Live,
    };
    let url = format!("{}/instances/draw-1", handle.url());
    Client::new().put(&url).send_json(&instance).await.unwrap();
    assert_that!(client.instances().await.unwrap(), container_eq([instance]));
    set_faults(&handle, json!({"list_frozen": true})).await;
    Client::new().delete(&url).send().await.unwrap();
    assert_that!(client.instances().await.unwrap().len(), eq(1));
    set_faults(&handle, json!({"list_frozen": false})).await;
    assert_that!(client.instances().await.unwrap(), is_empty());
    set_faults(&handle, json!({"list_lag_ms": 60_000})).await;
    assert_that!(client.instances().await.unwrap(), is_empty());
}

#[actix_web::test]
async fn an_unknown_fault_is_refused() {
    let (handle, _client) = start(Config::default());
    let url = format!("{}/faults", handle.url());
    let change = json!({"dwon": true});
    let response = Client::new().put(url).send_json(&change).await.unwrap();
    assert_that!(response.status().as_u16(), eq(400));
}
