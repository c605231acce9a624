//! How far the bundle in force has spread over the entry instances.

use core::{fmt, net::SocketAddr, time::Duration};

use awc::Client;
use bundle::Position;
use serde::Serialize;

use crate::View;

/// How far the bundle in force has spread over the entry instances that were asked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// Instances that have the bundle in force by the log.
    pub reached: Vec<SocketAddr>,
    /// Instances that have another one, or none.
    pub others: Vec<Other>,
    /// Instances that gave no answer.
    pub silent: Vec<Failure>,
}

/// An instance that has another bundle, or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Other {
    /// Where it was asked.
    pub address: SocketAddr,
    /// What it has in force.
    pub position: Option<Position>,
}

/// An instance that gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// Where it was asked.
    pub address: SocketAddr,
    /// What went wrong.
    pub reason: String,
}

impl Spread {
    /// Asks entry instances, one after the other, for what they have in force.
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
    pub async fn read(entries: &[SocketAddr], view: &View, limit: Duration) -> Self {
        let client = Client::builder()
            .disable_redirects()
            .timeout(limit)
            .finish();
        let wanted = view.projection.position().map(|position| position.digest);
        let mut spread = Self::default();
        for address in entries.iter().copied() {
            let asked = tokio::time::timeout(limit, ask(&client, address)).await;
            match asked.unwrap_or_else(|elapsed| Err(elapsed.to_string())) {
                Ok(Some(position)) if Some(position.digest) == wanted => {
                    spread.reached.push(address);
                }
                Ok(position) => spread.others.push(Other { address, position }),
                Err(reason) => spread.silent.push(Failure { address, reason }),
            }
        }
        spread
    }

    /// Tells whether every instance that was asked has confirmed the bundle in force.
    pub fn is_everywhere(&self) -> bool {
        !self.reached.is_empty() && self.others.is_empty() && self.silent.is_empty()
    }
}

/// Asks one instance; none is an answer too.
async fn ask(client: &Client, address: SocketAddr) -> Result<Option<Position>, String> {
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
        for silent in &self.silent {
            write!(f, "\nno answer: {}: {}", silent.address, silent.reason)?;
        }
        Ok(())
    }
}
