//! Reads and merges the books of entry instances.

use core::net::SocketAddr;

use awc::Client;
use base::{Incarnation, Stamp};
use burn::{Book, Report};
use futures_util::future::join_all;
use serde::Serialize;

use crate::{configs::Config, error::Error};

/// The largest answer read, in bytes.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A report with those that it lacks.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Reading {
    /// The report over all that was heard of.
    pub report: Report,
    /// The instances that gave no answer.
    pub silent: Vec<Silent>,
}

/// An instance that gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Silent {
    /// Where it was asked.
    pub address: SocketAddr,
    /// What went wrong.
    pub reason: String,
}

/// Reads the books of all entry instances at once and merges them.
///
/// # Errors
///
/// No instance answered.
///
/// # Examples
///
/// ```
/// # #[actix_web::main]
/// # async fn main() {
/// let config = report::Config { entries: vec!["127.0.0.1:1".parse().unwrap()], ..Default::default() };
/// let error = report::fetch::read(&config, base::Stamp::default()).await.unwrap_err();
/// assert_eq!(error.exit_code(), 3);
/// # }
/// ```
pub async fn read(config: &Config, now: Stamp) -> Result<Reading, Error> {
    let client = Client::builder()
        .disable_redirects()
        .timeout(config.timeout)
        .finish();
    let asked = config
        .entries
        .iter()
        .map(|at| read_one(&client, config, *at));
    let mut book = Book::open(Incarnation::new("report", now));
    let mut silent = Vec::new();
    let mut heard = 0;
    for answer in join_all(asked).await {
        match answer {
            Ok(other) => {
                book.merge(&other);
                heard += 1;
            }
            Err(missing) => silent.push(missing),
        }
    }
    if heard == 0 {
        let reasons: Vec<String> = silent.iter().map(Silent::line).collect();
        return Err(Error::Silent(reasons.join("; ")));
    }
    Ok(Reading {
        report: book.report(now),
        silent,
    })
}

async fn read_one(client: &Client, config: &Config, at: SocketAddr) -> Result<Book, Silent> {
    let missing = |reason: String| Silent {
        address: at,
        reason,
    };
    let asked = async {
        let sent = client.get(format!("http://{at}/v1/burn")).send().await;
        let mut response = sent.map_err(|error| missing(error.to_string()))?;
        if !response.status().is_success() {
            return Err(missing(response.status().to_string()));
        }
        let body = response.json().limit(ANSWER_BYTES).await;
        body.map_err(|error| missing(error.to_string()))
    };
    // A silent peer can stall a body after its head arrived, so the whole is bounded.
    match actix_web::rt::time::timeout(config.timeout, asked).await {
        Ok(answer) => answer,
        Err(elapsed) => Err(missing(elapsed.to_string())),
    }
}

impl Silent {
    /// Returns one line on the instance.
    pub fn line(&self) -> String {
        format!("{}: {}", self.address, self.reason)
    }
}
