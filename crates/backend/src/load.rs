//! Load reports of backend servers.

use core::{net::SocketAddr, time::Duration};

use base::Incarnation;
use serde::Deserialize;
use tokio::time;

use crate::Client;

/// The load that a backend server reports.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Report {
    /// The incarnation of the server.
    pub incarnation: Incarnation,
    /// The number of running calls.
    pub running: u32,
    /// The number of queued calls.
    pub waiting: u32,
    /// Whether the server is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Fetches the load report of a backend server; returns `None` if no valid answer arrives in time.
///
/// # Examples
///
/// ```no_run
/// # async fn run(client: &backend::Client) {
/// use core::time::Duration;
/// let address = "127.0.0.1:9001".parse().unwrap();
/// let report = backend::load::fetch(client, address, Duration::from_millis(500)).await;
/// # }
/// ```
pub async fn fetch(client: &Client, address: SocketAddr, limit: Duration) -> Option<Report> {
    let url = format!("http://{address}/v1/load");
    let request = async {
        let mut response = client
            .connection(address, true)
            .get(url)
            .send()
            .await
            .ok()?;
        response.json::<Report>().await.ok()
    };
    let Ok(report) = time::timeout(limit, request).await else {
        client.record_timeout(address, true);
        return None;
    };
    report
}
