//! Reports over entry instances that answer or stall, and the output formats.

use core::{net::SocketAddr, time::Duration};
use std::net::TcpListener;

use actix_web::{App, HttpResponse, HttpServer, web};
use base::{Code, Incarnation, Name, Stamp};
use burn::{
    Event, Tracker,
    event::{Called, Objective, Objectives},
};
use googletest::prelude::*;
use report::{Config, Reading, configs::Format, fetch, fetch::Failure, show};

const NOW: Stamp = Stamp::from_millis(1_796_000_000_000);

fn tracker(name: &str) -> Tracker {
    let mut tracker = Tracker::new(Incarnation::new(name, NOW));
    let pipelines = ["fee-payment", "status"].map(|pipeline| Objective {
        pipeline: pipeline.into(),
        share: 0.99,
    });
    tracker.record(
        NOW,
        &Event::InForce(Objectives {
            version: 1,
            pipelines: pipelines.to_vec(),
        }),
    );
    for at in 0..100_u64 {
        let time = Stamp::from_millis(NOW.as_millis() - 60_000 * (at % 40));
        let (code, stage) = match at % 25 {
            0 => (Code::StageUnavailable, Some(Name::from("look-up"))),
            1 => (Code::DeadlineUnmeetable, None),
            _ => (Code::Answered, None),
        };
        let account = Name::from(["stewards", "<judges>"][at as usize % 2]);
        let event = Event::ended("status".into(), account, code, true, stage);
        tracker.record(time, &event.unwrap());
        tracker.record(
            time,
            &Event::Called(Called {
                pipeline: "status".into(),
                stage: "look-up".into(),
                busy: Duration::from_millis(20),
                cost_per_second: 0.5,
                repeat: at % 10 == 0,
                wasted: at % 20 == 0,
            }),
        );
    }
    tracker
}

fn serve(tracker: Tracker) -> SocketAddr {
    let server = HttpServer::new(move || {
        let tracker = tracker.clone();
        let answer = move || {
            let tracker = tracker.clone();
            async move { HttpResponse::Ok().json(tracker) }
        };
        App::new().route("/v1/burn", web::get().to(answer))
    });
    let server = server.workers(1).bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    actix_web::rt::spawn(server.run());
    address
}

#[gtest]
#[actix_web::test]
async fn trackers_are_merged_and_unanswered_instances_are_named() {
    let first = tracker("entry-1");
    let mut second = tracker("entry-2");
    second.merge(&first);
    // Accepts connections and never answers.
    let stalled = TcpListener::bind("127.0.0.1:0").unwrap();
    let stalled = (stalled.local_addr().unwrap(), stalled);
    let config = Config {
        entries: vec![serve(first), serve(second), stalled.0],
        timeout: Duration::from_millis(800),
        ..Config::default()
    };
    let reading = fetch::read(&config, NOW).await.unwrap();
    let status = &reading.report.pipelines[1];
    expect_that!(status.budget.total, eq(200));
    expect_that!(status.budget.within, eq(184));
    expect_that!(
        reading.silent,
        elements_are![matches_pattern!(Failure {
            address: eq(&stalled.0),
            ..
        })]
    );
    expect_that!(
        show::print(&reading, Format::Text),
        contains_substring("no answer from")
    );
    expect_that!(
        show::print(&reading, Format::Html),
        contains_substring("No answer from")
    );
}

#[gtest]
fn output_formats_match_the_snapshots() {
    let reading = Reading {
        report: tracker("entry-1").report(NOW),
        silent: vec![Failure {
            address: "127.0.0.1:9".parse().unwrap(),
            reason: "timed out".to_owned(),
        }],
    };
    insta::assert_snapshot!("text", show::print(&reading, Format::Text));
    let page = show::print(&reading, Format::Html);
    insta::assert_snapshot!("html", page);
    expect_that!(page, not(contains_substring("<judges>")));
    expect_that!(page, not(contains_substring("http")));
}
