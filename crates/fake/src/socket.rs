//! A second hold on a connection, so that a handler can close it without an answer.

use core::any::Any;
use std::{
    net::{Shutdown, TcpStream},
    os::fd::AsFd as _,
};

use actix_web::{HttpRequest, dev::Extensions, rt::net};

pub(crate) struct Socket(TcpStream);

/// Keeps a duplicate of an accepted connection in the connection's data.
pub(crate) fn keep(connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<net::TcpStream>() else {
        return;
    };
    // A call waits for its answer; Nagle's algorithm would add its delay to every event.
    let _ = stream.set_nodelay(true);
    if let Ok(copy) = stream.as_fd().try_clone_to_owned() {
        data.insert(Socket(TcpStream::from(copy)));
    }
}

/// Closes the connection of a request without an answer and never returns.
pub(crate) async fn close<T>(request: &HttpRequest) -> T {
    if let Some(socket) = request.conn_data::<Socket>() {
        let _ = socket.0.shutdown(Shutdown::Both);
    }
    silence().await
}

/// Never answers.
pub(crate) async fn silence<T>() -> T {
    core::future::pending().await
}
