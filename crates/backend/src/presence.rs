//! Whether a backend server is still there, as a new connection to it shows.

use core::{net::SocketAddr, time::Duration};
use std::io;

use tokio::{net::TcpStream, time};

use crate::{
    Client,
    load::{self, Report},
};

/// What a new connection to a server showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Presence {
    /// A server answers at the address; the report names its life.
    Answered(Report),
    /// Nobody listens at the address.
    Refused,
    /// Nothing came back: the server may live on, cut off from here.
    Unreachable,
    /// The connection was taken and dropped, or nothing was said on it, as by a process that is going
    /// down.
    Inconclusive,
}

/// Looks once whether a server is there, within a time limit for connecting and one for its report.
///
/// # Examples
///
/// ```no_run
/// # async fn run(client: &backend::Client) {
/// use core::time::Duration;
/// use backend::presence::{self, Presence};
/// let address = "127.0.0.1:9001".parse().unwrap();
/// let limit = Duration::from_millis(500);
/// let gone = presence::probe(client, address, limit).await == Presence::Refused;
/// # }
/// ```
pub async fn probe(client: &Client, address: SocketAddr, limit: Duration) -> Presence {
    match time::timeout(limit, TcpStream::connect(address)).await {
        Err(_) => Presence::Unreachable,
        Ok(Err(error)) => from_connect_error(error.kind()),
        Ok(Ok(_)) => load::fetch(client, address, limit)
            .await
            .map_or(Presence::Inconclusive, Presence::Answered),
    }
}

/// Tells what an error in opening a connection shows.
///
/// A reset is no sign of life: a process that ends resets what waits to be accepted.
///
/// # Examples
///
/// ```
/// use std::io::ErrorKind;
/// use backend::presence::{self, Presence};
/// assert_eq!(presence::from_connect_error(ErrorKind::ConnectionRefused), Presence::Refused);
/// assert_eq!(presence::from_connect_error(ErrorKind::ConnectionReset), Presence::Inconclusive);
/// assert_eq!(presence::from_connect_error(ErrorKind::NetworkUnreachable), Presence::Unreachable);
/// ```
pub const fn from_connect_error(error: io::ErrorKind) -> Presence {
    match error {
        io::ErrorKind::ConnectionRefused => Presence::Refused,
        io::ErrorKind::BrokenPipe
        | io::ErrorKind::ConnectionAborted
        | io::ErrorKind::ConnectionReset
        | io::ErrorKind::NotConnected => Presence::Inconclusive,
        _ => Presence::Unreachable,
    }
}
