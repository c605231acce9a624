//! A duplicate handle to each connection, so that a handler can close it or leave it unanswered.

use core::{
    any::Any,
    sync::atomic::{AtomicU64, Ordering},
};
use std::{
    net::{Shutdown, TcpStream},
    os::fd::AsFd as _,
};

use actix_web::{HttpRequest, dev::Extensions, rt::net};

/// The number of connections accepted so far by every stand-in of this process.
static ACCEPTED: AtomicU64 = AtomicU64::new(0);

pub(crate) struct Socket {
    calls: AtomicU64,
    number: u64,
    stream: TcpStream,
}

/// Returns the number that the next connection will get.
pub(crate) fn next_connection_number() -> u64 {
    ACCEPTED.load(Ordering::Relaxed)
}

/// Stores a duplicate of an accepted connection in the connection's data.
pub(crate) fn attach(connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<net::TcpStream>() else {
        return;
    };
    // Callers wait for each event; Nagle's algorithm would delay every one of them.
    let _ = stream.set_nodelay(true);
    if let Ok(copy) = stream.as_fd().try_clone_to_owned() {
        data.insert(Socket {
            calls: AtomicU64::default(),
            number: ACCEPTED.fetch_add(1, Ordering::Relaxed),
            stream: TcpStream::from(copy),
        });
    }
}

/// Closes the connection of a request without an answer and never returns.
pub(crate) async fn close<T>(request: &HttpRequest) -> T {
    if let Some(socket) = request.conn_data::<Socket>() {
        let _ = socket.stream.shutdown(Shutdown::Both);
    }
    hang().await
}

/// Never returns if the connection of a request has a lower number than `number`.
pub(crate) async fn hang_if_older(request: &HttpRequest, number: u64) {
    let socket = request.conn_data::<Socket>();
    if socket.is_some_and(|socket| socket.number < number) {
        hang::<()>().await;
    }
}

/// Counts a call on its connection and returns whether the connection carried an earlier one.
pub(crate) fn record_call(request: &HttpRequest) -> bool {
    let socket = request.conn_data::<Socket>();
    socket.is_some_and(|socket| socket.calls.fetch_add(1, Ordering::Relaxed) > 0)
}

/// Never returns, so that the request gets no answer.
pub(crate) async fn hang<T>() -> T {
    core::future::pending().await
}
