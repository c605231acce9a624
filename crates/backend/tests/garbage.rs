//! Servers whose streams turn into bytes that are no event, without end.

use core::{net::SocketAddr, time::Duration};
use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::mpsc::{self, Receiver},
    thread,
};

use backend::{Call, Client, Config};
use base::{attempt::Attempt, request::Id};
use googletest::prelude::*;
use serde_json::Value;

/// What a connection may take without an event: the largest event, and the buffers of the sockets at both ends.
const MAX_TAKEN: usize = 24 * 1024 * 1024;

/// Starts a server that answers a request with bytes without end, and sends the number that were taken of them when the
/// connection is closed.
fn flood(endless: &'static str) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, taken) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 16_384];
        assert!(stream.read(&mut request).unwrap() > 0);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        let block = endless.repeat(65_536 / endless.len());
        let chunk = format!("{:x}\r\n{block}\r\n", block.len());
        let mut size = 0;
        while stream.write_all(chunk.as_bytes()).is_ok() {
            size += chunk.len();
        }
        sender.send(size).unwrap();
    });
    (address, taken)
}

/// A line or an event without end was kept in memory until the timeout of a part.
#[gtest]
#[actix_web::test]
async fn a_stream_ends_when_a_part_never_ends() {
    for endless in ["x", "data: x\n", ": comment\n\n"] {
        let (address, taken) = flood(endless);
        let call = Call {
            account: "press".into(),
            address,
            attempt: Attempt::new(Id::from_random(7), 0, 0),
            part_timeout: Duration::from_secs(3),
            time_left: Duration::from_secs(9),
            head_timeout: Duration::from_secs(3),
            first_token: 0,
            idempotent: false,
            input: Value::Null,
            key: None,
            operation: "write".into(),
            priority: 1,
        };
        let client = Client::open(Config::default());
        let mut stream = client.stream(&call).await.unwrap();
        expect_that!(stream.next_part().await.is_err(), eq(true));
        drop(stream);
        drop(client);
        let mut closed = None;
        for _ in 0..500 {
            closed = taken.try_recv().ok();
            if closed.is_some() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        expect_that!(closed, some(le(MAX_TAKEN)), "{endless:?}");
    }
}
