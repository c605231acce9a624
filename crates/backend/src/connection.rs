//! Connections to one backend server.

use core::net::SocketAddr;

use awc::{Client, Connector};

use crate::Config;

/// The connections to one backend server.
///
/// Idempotent calls share persistent connections. Each non-idempotent call uses a connection of its own, so that a
/// failure to open it means that nothing was sent.
pub(crate) struct Connection {
    pub(crate) address: SocketAddr,
    shared: Client,
    /// Whether an answer arrived over the shared connections, so that a later call may reuse an old connection.
    has_answered: bool,
    unshared: Client,
}

impl Connection {
    /// Returns the connections to a server; the first call opens them.
    pub(crate) fn open(address: SocketAddr, config: &Config) -> Self {
        Self {
            address,
            shared: client(config),
            has_answered: false,
            unshared: client(config),
        }
    }

    /// Returns the client for a call.
    pub(crate) const fn client(&self, idempotent: bool) -> &Client {
        if idempotent {
            &self.shared
        } else {
            &self.unshared
        }
    }

    /// Records that an answer arrived over a shared connection.
    pub(crate) const fn record_answer(&mut self) {
        self.has_answered = true;
    }

    /// Replaces the shared connections after one of them timed out, since the others may be broken as well, and
    /// returns whether no answer had arrived over them.
    pub(crate) fn replace_shared(&mut self, config: &Config) -> bool {
        self.shared = client(config);
        !core::mem::take(&mut self.has_answered)
    }
}

fn client(config: &Config) -> Client {
    let connector = Connector::new()
        .timeout(config.connect_timeout)
        .conn_keep_alive(config.idle_timeout);
    // A redirect would send a call twice. The timeouts depend on the progress of each call, so the caller sets them.
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}
