//! Orders to engines, which set the models and adapters that they hold.

use core::{net::SocketAddr, time::Duration};

use base::Name;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::Client;

/// The target state of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Target {
    /// All models that the engine is to hold; it drops all others.
    pub models: Vec<Name>,
    /// All adapters that the engine is to hold.
    pub adapters: Vec<Name>,
    /// The role that the engine is to take.
    pub role: Option<Name>,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Order {
    /// The fencing token; an engine refuses an order with a lower one than it has seen.
    pub fence: u64,
    /// The target state.
    pub want: Target,
}

/// The state that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Inventory {
    /// The models whose weights the engine holds.
    pub held: Vec<Name>,
    /// The target state of the last order.
    pub want: Target,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order, as it has seen a higher fencing token.
    Refused,
    /// There was no valid answer; the engine may have accepted the order.
    Unanswered,
}

/// Fetches the state of an engine; returns `None` if no valid answer arrives in time.
///
/// # Examples
///
/// ```no_run
/// # async fn run(client: &backend::Client) {
/// use core::time::Duration;
/// let address = "127.0.0.1:9001".parse().unwrap();
/// let inventory = backend::orders::fetch(client, address, Duration::from_millis(500)).await;
/// # }
/// ```
pub async fn fetch(client: &Client, address: SocketAddr, limit: Duration) -> Option<Inventory> {
    let request = client.connection(address, true).get(url(address));
    let exchange = async { request.send().await.ok()?.json::<Inventory>().await.ok() };
    let Ok(inventory) = time::timeout(limit, exchange).await else {
        client.record_timeout(address, true);
        return None;
    };
    inventory
}

/// Sends an order to an engine, without retries.
///
/// # Examples
///
/// ```no_run
/// # async fn run(client: &backend::Client) {
/// use backend::orders::{self, Order, Target};
/// use core::time::Duration;
/// let address = "127.0.0.1:9001".parse().unwrap();
/// let target = Target { models: vec!["brief".into()], ..Target::default() };
/// let order = Order { fence: 7, want: target };
/// let outcome = orders::send(client, address, &order, Duration::from_secs(5)).await;
/// # }
/// ```
pub async fn send(client: &Client, address: SocketAddr, order: &Order, limit: Duration) -> Outcome {
    let request = client.connection(address, true).post(url(address));
    let Ok(sent) = time::timeout(limit, request.send_json(order)).await else {
        client.record_timeout(address, true);
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
