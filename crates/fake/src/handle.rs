//! Handles to running stand-ins.

use core::net::SocketAddr;

use actix_web::{dev::ServerHandle, rt::task::JoinHandle};

/// A running stand-in.
///
/// Dropping the handle leaves the stand-in running until its runtime ends.
pub struct Handle {
    address: SocketAddr,
    server: ServerHandle,
    task: JoinHandle<std::io::Result<()>>,
}

impl Handle {
    pub(crate) fn new(
        address: SocketAddr,
        server: ServerHandle,
        task: JoinHandle<std::io::Result<()>>,
    ) -> Self {
        Self {
            address,
            server,
            task,
        }
    }

    /// Returns the stand-in's listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the stand-in.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops at once and drops requests in flight, as a crash does.
    pub async fn stop(self) {
        self.server.stop(false).await;
    }

    /// Waits until the stand-in stops by itself.
    ///
    /// # Errors
    ///
    /// The I/O error that stopped the server, if any.
    pub async fn wait(self) -> std::io::Result<()> {
        self.task.await.unwrap_or(Ok(()))
    }
}
