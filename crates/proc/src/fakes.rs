//! Reads what the fake servers counted, and sets their faults.

use awc::Client;
use base::Key;
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct Runs {
    runs: Vec<Run>,
}

#[derive(Deserialize)]
struct Run {
    count: u64,
}

/// Returns how often calls with a key ran, summed over servers.
///
/// # Panics
///
/// Panics if a server does not answer.
pub async fn runs(urls: &[String], key: Key) -> u64 {
    let mut total = 0;
    for url in urls {
        let runs = get(&format!("{url}/v1/runs/{key}")).await;
        let runs: Runs = serde_json::from_value(runs).expect("runs");
        total += runs.runs.iter().map(|run| run.count).sum::<u64>();
    }
    total
}

/// Sets faults of a fake server.
///
/// # Panics
///
/// Panics if the server rejects the change.
pub async fn set_faults(url: &str, change: Value) {
    let sent = Client::new()
        .put(format!("{url}/faults"))
        .send_json(&change);
    let status = sent.await.expect("an answer").status();
    assert!(status.is_success(), "{change}: {status}");
}

/// Reads JSON from a URL.
///
/// # Panics
///
/// Panics if there is no answer or it is not JSON.
pub async fn get(url: &str) -> Value {
    let mut response = Client::new().get(url).send().await.expect("an answer");
    response.json().await.expect("JSON")
}

/// Returns one counter of a fake server's statistics.
///
/// # Panics
///
/// Panics if there is no such counter.
pub async fn count(url: &str, name: &str) -> u64 {
    let stats = get(&format!("{url}/stats")).await;
    stats[name].as_u64().expect("a count")
}
