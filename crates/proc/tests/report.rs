//! Reports over failure domains, with each domain summarized by one of its instances.

use core::time::Duration;
use std::net::SocketAddr;

use base::Stamp;
use googletest::prelude::*;
use proc::{
    caller::{self, Caller, Request},
    poll,
    process::Signal,
    scene::{Builder, Scene},
};
use report::{Config, Reading, fetch};
use serde_json::json;

/// The time within which instances discover each other and count requests.
const TIMEOUT: Duration = Duration::from_secs(30);
const DOMAINS: usize = 2;
const ENTRIES: usize = 2;

/// Sends a different number of requests to each entry instance.
async fn serve(scene: &Scene) {
    let pipelines = &scene.bundle.pipelines;
    let pipeline = pipelines.iter().find(|one| !one.deferred);
    let pipeline = pipeline.expect("a pipeline");
    let account = pipeline.accounts.first();
    let account = account.unwrap_or(&scene.bundle.accounts[0].name);
    let caller = Caller::new(account.as_str());
    for (at, entry) in scene.entries.iter().enumerate() {
        for _ in 0..=at {
            let request = Request::new(pipeline.name.as_str(), json!({ "text": "a word" }));
            let reply = caller.send(&entry.url, &request.key(caller::key())).await;
            expect_that!(reply.expect("a reply").code(), eq(100));
        }
    }
}

fn address(url: &str) -> SocketAddr {
    let number = url.trim_start_matches("http://").parse();
    number.expect("an IP number with a port")
}

async fn read(urls: &[&str], domains: bool, now: Stamp) -> Reading {
    let config = Config {
        domains,
        entries: urls.iter().copied().map(address).collect(),
        ..Config::default()
    };
    fetch::read(&config, now).await.expect("an answer")
}

fn total(reading: &Reading) -> u64 {
    let pipelines = reading.report.pipelines.iter();
    pipelines.map(|one| one.budget.total).sum()
}

#[gtest]
#[actix_web::test]
async fn the_report_over_domains_is_that_over_books_and_names_who_is_silent() {
    let scene = Builder::new("compas").domains(DOMAINS).entries(ENTRIES);
    let scene = scene.start().await;
    let all: Vec<&str> = scene.entries.iter().map(|one| one.url.as_str()).collect();
    // Starting the scene has already sent some requests.
    let before = total(&read(&all, false, caller::now()).await);
    serve(&scene).await;
    let is_first = |at: &usize| {
        let domain = &scene.entries[*at].domain;
        scene.entries[..*at].iter().all(|one| one.domain != *domain)
    };
    let firsts: Vec<usize> = (0..all.len()).filter(is_first).collect();
    expect_that!(firsts.len(), eq(DOMAINS));
    let one_each: Vec<&str> = firsts.iter().map(|at| all[*at]).collect();
    let equal = poll::until(TIMEOUT, async || {
        let now = caller::now();
        let books = read(&all, false, now).await;
        let domains = read(&one_each, true, now).await;
        let whole = books.report.origins.len() == all.len();
        (whole && domains == books).then_some(books)
    });
    let books = equal.await.expect("the same report both ways");
    expect_that!(total(&books) - before, eq(10));
    // A domain counts once when both of its instances are asked.
    let now = caller::now();
    expect_that!(
        read(&all, true, now).await,
        eq(&read(&all, false, now).await)
    );

    let silent = (0..all.len())
        .find(|at| !is_first(at))
        .expect("a second one");
    scene.entries[silent].process.signal(Signal::Stop);
    let now = caller::now();
    let rest: Vec<&str> = (0..all.len())
        .filter(|at| *at != silent)
        .map(|at| all[at])
        .collect();
    let domains = read(&one_each, true, now).await;
    expect_that!(domains.report, eq(&read(&rest, false, now).await.report));
    expect_that!(domains.silent.len(), eq(1));
    expect_that!(domains.silent[0].reason, contains_substring("no part"));
    scene.entries[silent].process.signal(Signal::Continue);
}
