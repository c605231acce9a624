//! Orders, results and pulses between two instances on loopback.

use core::time::Duration;

use batch::{
    Shard,
    piece::{Handle, Outcome, Reason, Source},
};
use feed::{
    CachedChain, Changes, Client, Command, Delegation, EngineLoad, Entry, Heartbeat, serve,
};
use googletest::prelude::*;
use site::route::Rank;
use tokio::sync::mpsc;

fn handle(number: u64) -> Handle {
    Handle {
        address: "10.0.0.1:80".parse().unwrap(),
        text: format!("10.0.0.1:80/{number:x}").into(),
    }
}

fn order(source: Source) -> Delegation {
    Delegation {
        shard: Shard {
            pool: "portfolio".into(),
            domain: Some("b".into()),
        },
        request: "r-1".into(),
        stage: 2,
        numbers: vec![0, 3],
        source,
        rank: Rank {
            account: 1,
            route: 2,
        },
        density: 12_000,
        due: Duration::from_millis(250),
        time_left: Duration::from_millis(900),
        result_bytes: 60_000,
        preferred_domain: Some("a".into()),
        transfer_bytes: 480_000,
    }
}

#[gtest]
#[actix_web::test]
async fn what_is_sent_arrives_as_it_was() {
    let (asked, mut asks) = mpsc::unbounded_channel();
    let address = "127.0.0.1:17741".parse().unwrap();
    serve(address, asked).unwrap();
    let made = vec![Outcome::Result(handle(7)), Outcome::Failed(Reason::Room)];
    let pulse = Heartbeat {
        name: "b".into(),
        leaving: true,
        loads: vec![EngineLoad {
            server: "i-1".into(),
            tokens: 9_190,
            running: 3,
        }],
        config_version: 7,
        cached_chains: vec![CachedChain {
            server: "i-1".into(),
            chain: u64::MAX,
        }],
        entries_from: Some(7),
        entry_changes: Some(Changes {
            next_offset: 12,
            entries: vec![
                Entry {
                    key: "i-1".into(),
                    value: Some("{}".into()),
                    offset: 9,
                },
                Entry {
                    key: "i-2".into(),
                    value: None,
                    offset: 11,
                },
            ],
        }),
    };
    let client = Client::default();
    for source in [
        Source::Key("k".into()),
        Source::Results(vec![handle(1), handle(2)]),
    ] {
        let sent = order(source);
        let (answer, seen) = tokio::join!(client.run_pieces(address, sent.clone()), async {
            let Some(Command::Run {
                delegation: order,
                reply,
            }) = asks.recv().await
            else {
                panic!("an order is wanted");
            };
            reply.send(made.clone()).unwrap();
            order
        });
        expect_that!(seen, eq(&sent));
        expect_that!(answer.unwrap(), eq(&made));
    }
    let (answer, seen) = tokio::join!(
        client.send_heartbeat(address, pulse.clone(), Duration::from_secs(5)),
        async {
            let Some(Command::Heartbeat {
                heartbeat: pulse,
                reply,
            }) = asks.recv().await
            else {
                panic!("a pulse is wanted");
            };
            reply.send(pulse.clone()).unwrap();
            pulse
        }
    );
    expect_that!(seen, eq(&pulse));
    expect_that!(answer.unwrap(), eq(&pulse));
    expect_that!(
        client.release(address, &[handle(1)]).await.is_ok(),
        eq(true)
    );
}

#[gtest]
#[actix_web::test]
async fn an_instance_that_is_not_there_or_silent_is_an_error_in_time() {
    let client = Client::default();
    let nobody = "127.0.0.1:17742".parse().unwrap();
    let answer = client
        .send_heartbeat(nobody, Heartbeat::default(), Duration::from_secs(5))
        .await;
    expect_that!(answer.is_err(), eq(true));
    let (asked, _asks) = mpsc::unbounded_channel();
    let silent = "127.0.0.1:17743".parse().unwrap();
    serve(silent, asked).unwrap();
    let answer = client
        .send_heartbeat(silent, Heartbeat::default(), Duration::from_millis(200))
        .await;
    expect_that!(answer.is_err(), eq(true));
}
