//! Messages of instances of an earlier build, whose handles name no server and whose turns are for one request.

use core::time::Duration;

use batch::piece::{Handle, Source};
use feed::{Command, Grant, serve};
use googletest::prelude::*;
use quota::Turn;
use tokio::{sync::mpsc, time};
use tonic::transport::Endpoint;
use wire::feed::{self as message, feed_client::FeedClient};

/// How long a command may take to arrive.
const TIME_LIMIT: Duration = Duration::from_secs(2);

fn handle() -> message::Handle {
    message::Handle {
        maker: "10.0.0.1:80".to_owned(),
        text: "10.0.0.1:80/1".to_owned(),
        ..Default::default()
    }
}

/// UNASKED: a release whose server is known by its address alone could reach another server there.
#[gtest]
#[actix_web::test]
async fn results_of_unknown_makers_are_left_to_expire() {
    let (sender, mut commands) = mpsc::unbounded_channel();
    let address = "127.0.0.1:17746".parse().unwrap();
    serve(address, sender).unwrap();
    let endpoint = Endpoint::from_shared(format!("http://{address}")).unwrap();
    let mut client = FeedClient::new(endpoint.connect_lazy());
    let handles = vec![handle()];
    let freed = client.free(message::Handles { handles }).await;
    expect_that!(freed.is_ok(), eq(true));
    let order = message::Order {
        pool: "stages".to_owned(),
        request: "r-1".to_owned(),
        numbers: vec![0],
        inputs: vec![handle()],
        ..Default::default()
    };
    let make = client.make(order);
    let arrived = async { time::timeout(TIME_LIMIT, commands.recv()).await };
    let command = tokio::select! {
        command = arrived => command,
        _ = make => panic!("an answer before the command was taken"),
    };
    // The release came first and led to no command.
    let Ok(Some(Command::Run { delegation, .. })) = command else {
        panic!("expected pieces: {command:?}");
    };
    let inputs = Source::Results(vec![Handle {
        maker: None,
        text: "10.0.0.1:80/1".into(),
    }]);
    expect_that!(delegation.source, eq(&inputs));
}

/// LIMIT: a question for a turn that states no number of requests was taken for one without any.
#[gtest]
#[actix_web::test]
async fn a_turn_without_a_number_is_for_one_request() {
    let (sender, mut commands) = mpsc::unbounded_channel();
    let address = "127.0.0.1:17747".parse().unwrap();
    serve(address, sender).unwrap();
    let endpoint = Endpoint::from_shared(format!("http://{address}")).unwrap();
    let mut client = FeedClient::new(endpoint.connect_lazy());
    let ask = message::Ask {
        limit: Some(message::Limit {
            server: "i-1".to_owned(),
            ..Default::default()
        }),
        ..Default::default()
    };
    let granting = async {
        let Ok(Some(Command::AskTurn { ask, reply })) =
            time::timeout(TIME_LIMIT, commands.recv()).await
        else {
            panic!("no question arrived");
        };
        let turn = Turn::Granted {
            requests: ask.demand.requests,
            wait: Duration::ZERO,
            next_in: Duration::ZERO,
        };
        reply.send(Grant { turn, limit: None }).unwrap();
    };
    let (granted, ()) = tokio::join!(client.turn(ask), granting);
    expect_that!(granted.unwrap().into_inner().requests, eq(1));
}
