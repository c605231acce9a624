//! Instances that are lost while they pass on the answer to a call.

use core::{net::SocketAddr, time::Duration};
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use feed::{Call, Client, Command, Head, Part, serve};
use googletest::prelude::*;
use relay::Failure;
use tokio::{sync::mpsc, task, time};

/// How long a call may take whose connection is closed.
const LIMIT: Duration = Duration::from_secs(3);

/// The body of the passed answer.
const BODY: &str = "whole";

fn call() -> Call {
    Call {
        server: "i-1".into(),
        started_at_ms: 7,
        method: "POST".to_owned(),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: "body".into(),
        at_most_once: true,
        is_bound: false,
        max_connections: 8,
    }
}

fn head() -> Head {
    Head {
        status: 200,
        headers: vec![("x-response-seal".to_owned(), "seal".into())],
        run: Some(7),
        is_close_delimited: false,
    }
}

/// Opens a proxy that closes each connection after a number of bytes from the callee, and counts them.
fn open_proxy(target: SocketAddr, limit: usize, passed: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let passed = passed.clone();
    thread::spawn(move || {
        let (mut caller, _) = listener.accept().unwrap();
        let mut callee = TcpStream::connect(target).unwrap();
        let mut ends = (caller.try_clone().unwrap(), callee.try_clone().unwrap());
        thread::spawn(move || std::io::copy(&mut ends.0, &mut ends.1));
        let mut bytes = [0; 4_096];
        let mut left = limit;
        while let Ok(count @ 1..) = callee.read(&mut bytes) {
            let count = count.min(left);
            passed.fetch_add(count, Ordering::Relaxed);
            left -= count;
            if caller.write_all(&bytes[..count]).is_err() || left == 0 {
                break;
            }
        }
        // Either end may be closed already.
        let _ = caller.shutdown(Shutdown::Both);
        let _ = callee.shutdown(Shutdown::Both);
    });
    address
}

/// Returns the status and the body of a passed answer.
async fn receive(address: SocketAddr) -> core::result::Result<(Head, Vec<u8>), Failure> {
    let client = Client::default();
    let mut passed = client.pass(address, call()).await?;
    let mut body = Vec::new();
    while let Some(bytes) = passed.chunk().await? {
        body.extend_from_slice(&bytes);
    }
    Ok((passed.head, body))
}

/// MIXED: the connection between two instances broke in the middle of a passed head, and the caller got a success. The call
/// may have been made, so that no other instance may make it.
#[gtest]
#[actix_web::test]
async fn an_answer_that_another_instance_passes_on_is_whole_or_a_failure() {
    let (sender, mut commands) = mpsc::unbounded_channel();
    let target = SocketAddr::from(([127, 0, 0, 1], 17_751));
    serve(target, sender).unwrap();
    let calls = Arc::<AtomicUsize>::default();
    let counted = calls.clone();
    task::spawn_local(async move {
        while let Some(command) = commands.recv().await {
            if let Command::Pass { parts, .. } = command {
                counted.fetch_add(1, Ordering::Relaxed);
                for part in [Part::Head(head()), Part::Chunk(BODY.into()), Part::End] {
                    // The other instance may have given up.
                    let _ = parts.send(part).await;
                }
            }
        }
    });
    let mut cuts = 0;
    for limit in 1.. {
        let passed = Arc::default();
        let address = open_proxy(target, limit, &passed);
        let before = calls.load(Ordering::Relaxed);
        let received = time::timeout(LIMIT, receive(address)).await;
        let made = calls.load(Ordering::Relaxed) - before;
        let case = format!("{limit} bytes, {made} calls made: {received:?}");
        match received {
            Ok(Ok(whole)) => {
                expect_that!(whole, eq(&(head(), BODY.as_bytes().to_vec())), "{case}");
                if passed.load(Ordering::Relaxed) < limit {
                    break;
                }
            }
            Ok(Err(Failure::HelperUnavailable)) => expect_that!(made, eq(0), "{case}"),
            Ok(Err(failure)) => expect_that!(failure, eq(Failure::HelperLost), "{case}"),
            Err(_) => fail!("the call did not end: {case}").and_log_failure(),
        }
        cuts += 1;
    }
    expect_that!(cuts, gt(100));
}
