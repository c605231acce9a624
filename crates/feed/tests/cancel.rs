//! Delegations whose requests have ended.

use core::time::Duration;

use batch::{Shard, piece::Source};
use feed::{Client, Command, Delegation, serve};
use googletest::prelude::*;
use site::route::Rank;
use tokio::{sync::mpsc, time};

/// Guards against pieces that stay queued at the owner of their shard after their request was refused, became too late or lost
/// its caller: the owner is told at once, by the end of the call.
#[gtest]
#[actix_web::test]
async fn a_dropped_delegation_closes_the_channel_of_its_owner() {
    let (sender, mut commands) = mpsc::unbounded_channel();
    let address = "127.0.0.1:17749".parse().unwrap();
    serve(address, sender).unwrap();
    let client = Client::default();
    let delegation = Delegation {
        shard: Shard::whole(&"portfolio".into()),
        request: "r-1".into(),
        stage: 0,
        numbers: vec![0],
        source: Source::Key("k".into()),
        rank: Rank::default(),
        density: 1,
        due: Duration::from_secs(1),
        slack: Duration::ZERO,
        time_left: Duration::from_secs(20),
        result_bytes: 1,
        preferred_domain: None,
        transfer_bytes: 0,
    };
    let run = client.run_pieces(address, delegation);
    let received = tokio::select! {
        _ = run => None,
        received = commands.recv() => received,
    };
    let Some(Command::Run { mut reply, .. }) = received else {
        panic!("expected pieces");
    };
    let closed = time::timeout(Duration::from_secs(5), reply.closed()).await;
    expect_that!(closed.is_ok(), eq(true));
}
