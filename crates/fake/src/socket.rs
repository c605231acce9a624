//! A second hold on a connection, so that a handler can close it or let it go silent.

use core::{
    any::Any,
    sync::atomic::{AtomicU64, Ordering},
};
use std::{
    net::{Shutdown, TcpStream},
    os::fd::AsFd as _,
};

use actix_web::{HttpRequest, dev::Extensions, rt::net};

/// Connections accepted so far by every stand-in of this process.
static ACCEPTED: AtomicU64 = AtomicU64::new(0);

pub(crate) struct Socket {
    calls: AtomicU64,
    number: u64,
    stream: TcpStream,
}

/// Returns the number that the next connection will get.
pub(crate) fn next_number() -> u64 {
    ACCEPTED.load(Ordering::Relaxed)
}

/// Keeps a duplicate of an accepted connection in the connection's data.
pub(crate) fn keep(connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<net::TcpStream>() else {
        return;
    };
    // A call waits for its answer; Nagle's algorithm would add its delay to every event.
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
    silence().await
}

/// Never returns for a request on a connection that was accepted before one with this number.
pub(crate) async fn silence_before(request: &HttpRequest, number: u64) {
    let socket = request.conn_data::<Socket>();
    if socket.is_some_and(|socket| socket.number < number) {
        silence::<()>().await;
    }
}

/// Counts a call on its connection, and tells whether the connection carried one before.
pub(crate) fn is_reused(request: &HttpRequest) -> bool {
    let socket = request.conn_data::<Socket>();
    socket.is_some_and(|socket| socket.calls.fetch_add(1, Ordering::Relaxed) > 0)
}

/// Never answers.
pub(crate) async fn silence<T>() -> T {
    core::future::pending().await
}
