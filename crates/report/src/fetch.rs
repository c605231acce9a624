//! Fetches and merges the trackers of entry instances or the summaries of failure domains.

use core::net::SocketAddr;

use awc::Client;
use base::{Incarnation, Stamp};
use burn::{
    Report, Tracker,
    summary::{Domain, Summaries},
};
use futures_util::future::join_all;
use serde::{Serialize, de::DeserializeOwned};

use crate::{configs::Config, error::Error};

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A report with the instances that are missing in it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Reading {
    /// The report over all answers.
    pub report: Report,
    /// The instances that did not answer.
    pub silent: Vec<Failure>,
}

/// An instance that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// The address that was queried.
    pub address: SocketAddr,
    /// The reason of the failure.
    pub reason: String,
}

/// Fetches the trackers of all entry instances, or the summaries of their failure domains, concurrently
/// and merges them.
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
    if config.domains {
        let path = format!("/v1/burn/domain?at={}", now.as_millis());
        let (domains, silent) = fetch_all(&client, config, &path).await?;
        return Ok(sum_domains(domains, silent));
    }
    let (trackers, silent): (Vec<(SocketAddr, Tracker)>, _) =
        fetch_all(&client, config, "/v1/burn").await?;
    let mut tracker = Tracker::new(Incarnation::new("report", now));
    trackers.iter().for_each(|(_, other)| tracker.merge(other));
    Ok(Reading {
        report: tracker.report(now),
        silent,
    })
}

/// Sums the summaries of failure domains. Each counts once, even if several of its instances answered.
fn sum_domains(domains: Vec<(SocketAddr, Domain)>, mut silent: Vec<Failure>) -> Reading {
    let mut summaries = Summaries::default();
    for (address, domain) in domains {
        let name = &domain.summary.name;
        for failure in domain.silent {
            let reason = format!("gave {name} no part: {}", failure.reason);
            // Peers' addresses are IP addresses. If one is not, the address of the instance that collected
            // the summary is shown instead.
            silent.push(Failure {
                address: failure.address.as_str().parse().unwrap_or(address),
                reason,
            });
        }
        summaries.insert(domain.summary);
    }
    silent.sort_by(|a, b| (a.address, &a.reason).cmp(&(b.address, &b.reason)));
    silent.dedup();
    let config = burn::Config::default();
    let sum = summaries.sum("all".into(), &config);
    Reading {
        report: sum.report(&config),
        silent,
    }
}

/// Fetches the same path from all entry instances concurrently and returns the answers and the failures.
async fn fetch_all<T: DeserializeOwned>(
    client: &Client,
    config: &Config,
    path: &str,
) -> Result<(Vec<(SocketAddr, T)>, Vec<Failure>), Error> {
    let requests = config
        .entries
        .iter()
        .map(|address| fetch_one(client, config, path, *address));
    let (mut answers, mut silent) = (Vec::new(), Vec::new());
    for (address, answer) in config.entries.iter().zip(join_all(requests).await) {
        match answer {
            Ok(answer) => answers.push((*address, answer)),
            Err(failure) => silent.push(failure),
        }
    }
    if answers.is_empty() {
        let reasons: Vec<String> = silent.iter().map(Failure::line).collect();
        return Err(Error::NoAnswer(reasons.join("; ")));
    }
    Ok((answers, silent))
}

async fn fetch_one<T: DeserializeOwned>(
    client: &Client,
    config: &Config,
    path: &str,
    address: SocketAddr,
) -> Result<T, Failure> {
    let failure = |reason: String| Failure { address, reason };
    let fetch = async {
        let sent = client.get(format!("http://{address}{path}")).send().await;
        let mut response = sent.map_err(|error| failure(error.to_string()))?;
        if !response.status().is_success() {
            return Err(failure(response.status().to_string()));
        }
        let body = response.json().limit(MAX_ANSWER_BYTES).await;
        body.map_err(|error| failure(error.to_string()))
    };
    // A peer can stall while it sends the body, after its head arrived, so the timeout covers the whole
    // request.
    match actix_web::rt::time::timeout(config.timeout, fetch).await {
        Ok(answer) => answer,
        Err(elapsed) => Err(failure(elapsed.to_string())),
    }
}

impl Failure {
    /// Returns a line for the report.
    pub fn line(&self) -> String {
        format!("{}: {}", self.address, self.reason)
    }
}
