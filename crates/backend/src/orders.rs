//! Orders to engines: what they hold, and what they are to hold.

use core::{net::SocketAddr, time::Duration};

use base::Name;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::Client;

/// The state that an order wants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Target {
    /// All models that the engine is to hold; it drops every other.
    pub models: Vec<Name>,
    /// All adapters that it is to hold.
    pub adapters: Vec<Name>,
    /// The role that it is to take.
    pub role: Option<Name>,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Order {
    /// The fencing number.
    pub fence: u64,
    /// The state wanted.
    pub want: Target,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Inventory {
    /// The models whose weights it holds.
    pub held: Vec<Name>,
    /// The state that the last order wanted.
    pub want: Target,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine took it.
    Accepted,
    /// The engine has seen a higher fencing number.
    Refused,
    /// Nobody knows whether the engine took it.
    Unanswered,
}

/// Asks an engine what it holds; gives nothing when it does not answer in time.
///
/// # Examples
///
/// ```no_run
/// # async fn run(client: &backend::Client) {
/// use core::time::Duration;
/// let address = "127.0.0.1:9001".parse().unwrap();
/// let holding = backend::orders::fetch(client, address, Duration::from_millis(500)).await;
/// # }
/// ```
pub async fn fetch(client: &Client, address: SocketAddr, limit: Duration) -> Option<Inventory> {
    let request = client.connection(address, true).get(url(address));
    let asking = async { request.send().await.ok()?.json::<Inventory>().await.ok() };
    let Ok(holding) = time::timeout(limit, asking).await else {
        client.silent(address, true);
        return None;
    };
    holding
}

/// Sends an order, once.
///
/// # Examples
///
/// ```no_run
/// # async fn run(client: &backend::Client) {
/// use backend::orders::{self, Order, Target};
/// use core::time::Duration;
/// let address = "127.0.0.1:9001".parse().unwrap();
/// let want = Target { models: vec!["brief".into()], ..Target::default() };
/// let order = Order { fence: 7, want };
/// let end = orders::send(client, address, &order, Duration::from_secs(5)).await;
/// # }
/// ```
pub async fn send(client: &Client, address: SocketAddr, order: &Order, limit: Duration) -> Outcome {
    let request = client.connection(address, true).post(url(address));
    let Ok(sent) = time::timeout(limit, request.send_json(order)).await else {
        client.silent(address, true);
        return Outcome::Unanswered;
    };
    match sent.map(|response| response.status().as_u16()) {
        Ok(200) => Outcome::Accepted,
        Ok(409) => Outcome::Refused,
        _ => Outcome::Unanswered,
    }
}

fn url(address: SocketAddr) -> String {
    format!("http://{address}/v1/orders")
}
