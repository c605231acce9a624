//! Load reports of backend servers.

use core::{net::SocketAddr, time::Duration};

use base::Incarnation;
use serde::Deserialize;
use tokio::time;

use crate::Client;

/// What a backend server reports of its load.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Report {
    /// The life of the server.
    pub incarnation: Incarnation,
    /// Calls that it works on.
    pub running: u32,
    /// Calls that wait in it.
    pub waiting: u32,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Asks a backend server for its load; gives nothing when it does not answer in time.
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
    let asking = async {
        let mut response = client
            .connection(address, true)
            .get(url)
            .send()
            .await
            .ok()?;
        response.json::<Report>().await.ok()
    };
    let Ok(report) = time::timeout(limit, asking).await else {
        client.silent(address, true);
        return None;
    };
    report
}
