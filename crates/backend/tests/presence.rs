//! What new connections show of servers that live, go down, or are gone.

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

async fn look(address: SocketAddr) -> Presence {
    let client = Client::open(Config::default());
    presence::probe(&client, address, LIMIT).await
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Takes connections and drops each at once, as a process that is going down.
fn drop_all(listener: TcpListener) {
    thread::spawn(move || {
        for taken in listener.incoming() {
            drop::<TcpStream>(taken.unwrap());
        }
    });
}

#[gtest]
#[actix_web::test]
async fn an_address_without_a_listener_refuses() {
    let (listener, address) = listen();
    drop(listener);
    expect_that!(look(address).await, eq(&Presence::Refused));
}

#[gtest]
#[actix_web::test]
async fn a_listener_that_drops_what_it_takes_is_no_sign_of_life() {
    let (listener, address) = listen();
    drop_all(listener);
    expect_that!(look(address).await, eq(&Presence::Inconclusive));
}
