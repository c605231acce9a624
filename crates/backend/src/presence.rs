//! Detection of whether a backend server is running, by opening a new connection to it.

use core::{net::SocketAddr, time::Duration};
use std::io;

use tokio::{net::TcpStream, time};

use crate::{
    Client,
    load::{self, Report},
};

/// The result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Presence {
    /// A server answers at the address; the report contains its incarnation.
    Answered(Report),
    /// No process listens at the address.
    Refused,
    /// There was no response; the server may be running behind a network fault.
    Unreachable,
    /// The connection was accepted but closed or left without an answer, as by a process that is shutting
    /// down.
    Inconclusive,
}

/// Probes a server once. The time limit applies to connecting and to the load report separately.
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

/// Returns the presence that an error while connecting indicates.
///
/// A reset does not show that a server is running: when a process ends, connections that wait to be accepted are
/// reset.
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
