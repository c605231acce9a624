//! Connections to one backend server.

use core::net::SocketAddr;

use awc::{Client, Connector};

use crate::Config;

/// The connections to one backend server.
///
/// Calls that may be repeated share kept connections. Each call that may not be repeated gets a
/// connection of its own, so that "it could not be opened" is known to mean "nothing was sent".
pub(crate) struct Connection {
    pub(crate) address: SocketAddr,
    kept: Client,
    /// Whether an answer came over the kept connections, so that one of them may be old.
    proven: bool,
    single: Client,
}

impl Connection {
    /// Opens no connection yet; the first call does.
    pub(crate) fn open(address: SocketAddr, config: &Config) -> Self {
        Self {
            address,
            kept: client(config),
            proven: false,
            single: client(config),
        }
    }

    /// Returns the client for a call.
    pub(crate) const fn client(&self, idempotent: bool) -> &Client {
        if idempotent { &self.kept } else { &self.single }
    }

    /// Takes note that an answer came over a kept connection.
    pub(crate) const fn prove(&mut self) {
        self.proven = true;
    }

    /// Replaces the kept connections, since one of them went silent and its siblings may have, and
    /// tells whether that one was new.
    pub(crate) fn renew(&mut self, config: &Config) -> bool {
        self.kept = client(config);
        !core::mem::take(&mut self.proven)
    }
}

fn client(config: &Config) -> Client {
    let connector = Connector::new()
        .timeout(config.connect_timeout)
        .conn_keep_alive(config.idle_timeout);
    // A redirect would send a call twice. Time limits are the caller's, by progress.
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}
