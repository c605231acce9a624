//! Calls over loopback, including broken connections and server stops.

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use actix_web::rt;
use googletest::prelude::*;
use member::Summary;
use peer::{Client, Error, Handle, Handler, configs};
use wire::{Batch, Grant, Moment, Part, Proof, Record, Slots, Trial, Verdict, Verdicts, Want};

mod proxy;

/// The timeout of exchanges in these tests.
const TIMEOUT: Duration = Duration::from_millis(300);
/// The duration of a fetch.
const FETCH_TIME: Duration = Duration::from_millis(150);

struct TestHandler;

impl Handler for TestHandler {
    async fn exchange(&self, summary: Summary) -> std::result::Result<Summary, Error> {
        Ok(summary)
    }

    async fn fetch(&self, want: Want) -> std::result::Result<Proof, Error> {
        rt::time::sleep(FETCH_TIME).await;
        Ok(Proof {
            content: want.digest,
        })
    }

    async fn submit(&self, batch: Batch) -> std::result::Result<Verdicts, Error> {
        if batch.partition != 3 {
            return Err(Error::Refused("not the owner".to_owned()));
        }
        let verdict = |record: Record| Verdict {
            token: record.token,
            json: record.json,
        };
        Ok(Verdicts {
            verdicts: batch.records.into_iter().map(verdict).collect(),
        })
    }

    async fn lookup(&self, _: Slots) -> std::result::Result<Verdicts, Error> {
        Ok(Verdicts::default())
    }

    async fn permit(&self, _: Trial) -> std::result::Result<Grant, Error> {
        Ok(Grant::default())
    }

    async fn condense(&self, _: Moment) -> std::result::Result<Part, Error> {
        Ok(Part::default())
    }
}

fn config() -> configs::peer::Config {
    configs::peer::Config {
        exchange_timeout: TIMEOUT,
        grace_period: Duration::from_secs(1),
        ..configs::peer::Config::default()
    }
}

fn serve(address: &str) -> Handle {
    peer::bind(address.parse().expect("an address"), TestHandler, &config()).expect("a free port")
}

fn client(address: SocketAddr) -> Client {
    Client::open(&address.to_string(), config()).expect("an address")
}

fn batch(partition: u32) -> Batch {
    let record = Record {
        token: 9,
        json: "{}".to_owned(),
    };
    Batch {
        partition,
        records: vec![record],
    }
}

#[gtest]
fn the_owner_answers_submitted_records_and_another_instance_refuses_them() {
    rt::System::new().block_on(async {
        let handle = serve("127.0.0.1:0");
        let client = client(handle.address());
        let verdicts = client.submit(batch(3)).await.expect("the owner answers");
        expect_that!(verdicts.verdicts[0].token, eq(9));
        let refused = Err(Error::Refused("not the owner".to_owned()));
        expect_that!(client.submit(batch(4)).await, eq(&refused));
        expect_that!(
            client.lookup(Slots::default()).await,
            eq(&Ok(Verdicts::default()))
        );
        handle.stop().await;
    });
}

#[gtest]
fn a_broken_connection_fails_one_call() {
    rt::System::new().block_on(async {
        let handle = serve("127.0.0.1:0");
        let (address, counters) = proxy::spawn(handle.address());
        let client = client(address);
        expect_that!(client.exchange(&Summary::default()).await, ok(anything()));
        proxy::silence(&counters);
        let start = Instant::now();
        let result = client.exchange(&Summary::default()).await;
        expect_that!(result, eq(&Err(Error::Timeout { fresh: false })));
        expect_that!(start.elapsed(), ge(TIMEOUT));
        expect_that!(client.exchange(&Summary::default()).await, ok(anything()));
        expect_that!(counters.connections.load(Ordering::SeqCst), eq(2));
        handle.stop().await;
    });
}

#[gtest]
fn concurrent_calls_on_a_broken_connection_replace_it_once() {
    rt::System::new().block_on(async {
        let handle = serve("127.0.0.1:0");
        let (address, counters) = proxy::spawn(handle.address());
        let client = client(address);
        expect_that!(client.exchange(&Summary::default()).await, ok(anything()));
        proxy::silence(&counters);
        let summary = Summary::default();
        let (one, two, three) = tokio::join!(
            client.exchange(&summary),
            client.exchange(&summary),
            client.exchange(&summary)
        );
        expect_that!([one, two, three], each(err(anything())));
        expect_that!(client.exchange(&summary).await, ok(anything()));
        expect_that!(counters.connections.load(Ordering::SeqCst), eq(2));
        handle.stop().await;
    });
}

#[gtest]
fn a_timeout_on_a_new_connection_is_reported_as_such() {
    rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let client = client(listener.local_addr().expect("a bound port"));
        let result = client.exchange(&Summary::default()).await;
        expect_that!(result, eq(&Err(Error::Timeout { fresh: true })));
    });
}

#[gtest]
fn a_stopped_instance_is_detected_at_once_and_its_successor_is_reached() {
    rt::System::new().block_on(async {
        let handle = serve("127.0.0.1:0");
        let address = handle.address();
        let client = client(address);
        expect_that!(client.exchange(&Summary::default()).await, ok(anything()));
        handle.stop().await;
        let result = client.exchange(&Summary::default()).await;
        expect_that!(matches!(result, Err(Error::Unavailable(_))), eq(true));
        let handle = serve(&address.to_string());
        expect_that!(client.exchange(&Summary::default()).await, ok(anything()));
        handle.stop().await;
    });
}

#[gtest]
fn a_stop_aborts_no_call_in_flight() {
    rt::System::new().block_on(async {
        let handle = serve("127.0.0.1:0");
        let client = client(handle.address());
        let idle = self::client(handle.address());
        expect_that!(idle.exchange(&Summary::default()).await, ok(anything()));
        let want = Want {
            offset: 1,
            digest: vec![7; 32],
        };
        let stop = async {
            rt::time::sleep(FETCH_TIME / 3).await;
            handle.stop().await;
        };
        let (answer, ()) = tokio::join!(client.fetch(want), stop);
        expect_that!(
            answer,
            eq(&Ok(Proof {
                content: vec![7; 32]
            }))
        );
    });
}
