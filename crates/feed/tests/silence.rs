//! Connections between instances that fall silent.

use core::{net::SocketAddr, time::Duration};
use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use batch::{
    Shard,
    piece::{Outcome, Reason, Source},
};
use feed::{Client, Command, Delegation, Results, serve};
use googletest::prelude::*;
use site::route::Rank;
use tokio::{sync::mpsc, time};

/// The time by which a silent connection has to be given up; requests may wait for longer.
const LIMIT: Duration = Duration::from_secs(3);

fn delegation() -> Delegation {
    Delegation {
        shard: Shard::whole(&"portfolio".into()),
        request: "r-1".into(),
        stage: 0,
        numbers: vec![0],
        source: Source::Key("key".into()),
        rank: Rank::default(),
        density: 1,
        due: Duration::from_secs(1),
        slack: Duration::from_millis(40),
        time_left: Duration::from_secs(20),
        result_bytes: 1,
        preferred_domain: None,
        transfer_bytes: 0,
    }
}

/// Passes bytes on, and holds them back while the connection is silent.
fn copy(mut from: TcpStream, mut to: TcpStream, is_silent: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut bytes = [0; 4_096];
        while let Ok(count) = from.read(&mut bytes) {
            while is_silent.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(5));
            }
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                return;
            }
        }
    });
}

/// Opens a proxy whose connections can be made silent.
fn open_proxy(target: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let is_silent: Arc<AtomicBool> = Arc::default();
    let shared = is_silent.clone();
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let callee = TcpStream::connect(target).unwrap();
            copy(
                caller.try_clone().unwrap(),
                callee.try_clone().unwrap(),
                shared.clone(),
            );
            copy(callee, caller, shared.clone());
        }
    });
    (address, is_silent)
}

/// Delegates a piece over a connection that is silent for a while, and returns whether it was run in time.
async fn run_over_silence(port: u16, silence: Duration) -> Option<bool> {
    let (sender, mut commands) = mpsc::unbounded_channel();
    let target = SocketAddr::from(([127, 0, 0, 1], port));
    serve(target, sender).unwrap();
    let (address, is_silent) = open_proxy(target);
    let client = Client::default();
    let run = time::timeout(LIMIT, client.run_pieces(address, delegation()));
    let owner = async {
        let Some(Command::Run { reply, .. }) = commands.recv().await else {
            panic!("expected pieces");
        };
        is_silent.store(true, Ordering::Relaxed);
        time::sleep(silence).await;
        is_silent.store(false, Ordering::Relaxed);
        // The caller may have given up.
        let _ = reply.send(Results {
            outcomes: vec![Outcome::Failed(Reason::Room)],
            ..Results::default()
        });
    };
    let (run, ()) = tokio::join!(run, owner);
    run.ok().map(|outcomes| outcomes.is_ok())
}

/// LOST: pieces waited until the deadline for an answer on a connection that had gone silent for good, while the instance
/// answered its heartbeats on a new one.
#[gtest]
#[actix_web::test]
async fn a_delegation_fails_when_its_connection_stays_silent() {
    expect_that!(run_over_silence(17_751, LIMIT).await, some(eq(false)));
}

/// A short silence is no failure.
#[gtest]
#[actix_web::test]
async fn a_delegation_survives_a_short_silence_of_its_connection() {
    let silence = Duration::from_millis(700);
    expect_that!(run_over_silence(17_752, silence).await, some(eq(true)));
}
