//! Probes of servers that are shutting down or not running.

use core::{net::SocketAddr, time::Duration};
use std::{
    net::{TcpListener, TcpStream},
    thread,
};

use backend::{
    Client, Config,
    presence::{self, Presence},
};
use googletest::prelude::*;

const LIMIT: Duration = Duration::from_secs(2);

async fn probe(address: SocketAddr) -> Presence {
    let client = Client::open(Config::default());
    presence::probe(&client, address, LIMIT).await
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Accepts connections and closes each at once, like a process that is shutting down.
fn close_all(listener: TcpListener) {
    thread::spawn(move || {
        for accepted in listener.incoming() {
            drop::<TcpStream>(accepted.unwrap());
        }
    });
}

#[gtest]
#[actix_web::test]
async fn an_address_without_a_listener_is_refused() {
    let (listener, address) = listen();
    drop(listener);
    expect_that!(probe(address).await, eq(&Presence::Refused));
}

#[gtest]
#[actix_web::test]
async fn a_listener_that_closes_connections_is_inconclusive() {
    let (listener, address) = listen();
    close_all(listener);
    expect_that!(probe(address).await, eq(&Presence::Inconclusive));
}
