//! Checks which entry instances have the bundle in force.

use core::{fmt, net::SocketAddr, time::Duration};

use awc::Client;
use bundle::Position;
use serde::Serialize;

use crate::View;

/// The entry instances that have the bundle in force, and those that don't.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// Instances that have the bundle in force by the log.
    pub reached: Vec<SocketAddr>,
    /// Instances that have another one, or none.
    pub others: Vec<Other>,
    /// Instances that did not answer.
    pub silent: Vec<Failure>,
}

/// An instance that has another bundle, or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Other {
    /// The address of the instance.
    pub address: SocketAddr,
    /// The position of its bundle in force.
    pub position: Option<Position>,
}

/// An instance that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// The address of the instance.
    pub address: SocketAddr,
    /// The reason of the failure.
    pub reason: String,
}

impl Spread {
    /// Queries entry instances, one after the other, for their position.
    ///
    /// # Examples
    ///
    /// ```
    /// # #[actix_web::main]
    /// # async fn main() {
    /// use core::time::Duration;
    /// use ctl::{View, spread::Spread};
    /// let view = View { projection: bundle::Projection::new(Vec::new()), events: Vec::new() };
    /// let nobody = "127.0.0.1:1".parse().unwrap();
    /// let spread = Spread::read(&[nobody], &view, Duration::from_secs(1)).await;
    /// assert!(!spread.is_everywhere());
    /// # }
    /// ```
    pub async fn read(entries: &[SocketAddr], view: &View, timeout: Duration) -> Self {
        let client = Client::builder()
            .disable_redirects()
            .timeout(timeout)
            .finish();
        let expected = view.projection.position().map(|position| position.digest);
        let mut spread = Self::default();
        for address in entries.iter().copied() {
            let answer = tokio::time::timeout(timeout, fetch_position(&client, address)).await;
            match answer.unwrap_or_else(|elapsed| Err(elapsed.to_string())) {
                Ok(Some(position)) if Some(position.digest) == expected => {
                    spread.reached.push(address);
                }
                Ok(position) => spread.others.push(Other { address, position }),
                Err(reason) => spread.silent.push(Failure { address, reason }),
            }
        }
        spread
    }

    /// Returns whether all instances queried have the bundle in force.
    pub fn is_everywhere(&self) -> bool {
        !self.reached.is_empty() && self.others.is_empty() && self.silent.is_empty()
    }
}

/// Fetches the position of one instance, which may have none.
async fn fetch_position(client: &Client, address: SocketAddr) -> Result<Option<Position>, String> {
    let sent = client
        .get(format!("http://{address}/v1/position"))
        .send()
        .await;
    let mut response = sent.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(response.status().to_string());
    }
    response.json().await.map_err(|error| error.to_string())
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_everywhere() {
            write!(
                f,
                "\nin force on all {} instances asked",
                self.reached.len()
            )?;
        } else if !self.reached.is_empty() {
            write!(f, "\nin force on {} instances", self.reached.len())?;
        }
        for other in &self.others {
            let address = other.address;
            match other.position {
                Some(one) => write!(
                    f,
                    "\nnot there: {address} with version {} {}",
                    one.version, one.digest
                )?,
                None => write!(f, "\nnot there: {address} with none")?,
            }
        }
        for failure in &self.silent {
            write!(f, "\nno answer: {}: {}", failure.address, failure.reason)?;
        }
        Ok(())
    }
}
