//! Servers that answer a call with the answer to another one.

use core::{net::SocketAddr, time::Duration};
use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use backend::{Call, Client, Config};
use base::{attempt::Attempt, request::Id};
use flow::Failure;
use googletest::prelude::*;
use serde_json::Value;

/// Starts a server that answers each connection's first request with a status, as if it were that of another attempt.
fn answer_another(status: &'static str, attempt: Attempt) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 16_384];
            assert!(stream.read(&mut request).unwrap() > 0);
            let answer = format!(
                "HTTP/1.1 {status}\r\nLimpetstep-Attempt: {attempt}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    address
}

/// Guards against a refusal of another call that was taken for a promise that this one has not run.
#[gtest]
#[actix_web::test]
async fn a_refusal_of_another_attempt_refuses_nothing() {
    for status in ["422 Refused", "429 Busy", "503 Busy"] {
        let attempt = |number| Attempt::new(Id::from_random(7), number, 0);
        let call = Call {
            account: "press".into(),
            address: answer_another(status, attempt(1)),
            attempt: attempt(2),
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
        let failure = client.call(&call).await.err();
        expect_that!(failure, some(eq(&Failure::Mismatched)), "{status}");
    }
}
