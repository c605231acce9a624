//! Reads and merges the trackers of entry instances, or the sums of failure domains.

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

/// Reads the trackers of all entry instances at once and merges them, or the sums of their failure domains.
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
        let (domains, silent) = read_all(&client, config, &path).await?;
        return Ok(sum(domains, silent));
    }
    let (trackers, silent): (Vec<(SocketAddr, Tracker)>, _) =
        read_all(&client, config, "/v1/burn").await?;
    let mut tracker = Tracker::new(Incarnation::new("report", now));
    trackers.iter().for_each(|(_, other)| tracker.merge(other));
    Ok(Reading {
        report: tracker.report(now),
        silent,
    })
}

/// Sums what failure domains told, each counted once, however many of its instances were asked.
fn sum(domains: Vec<(SocketAddr, Domain)>, mut silent: Vec<Silent>) -> Reading {
    let mut summaries = Summaries::default();
    for (at, domain) in domains {
        let name = &domain.summary.name;
        for missing in domain.silent {
            let reason = format!("gave {name} no part: {}", missing.reason);
            // Peers have addresses of numbers; where not, the one that asked stands for the other.
            silent.push(Silent {
                address: missing.address.as_str().parse().unwrap_or(at),
                reason,
            });
        }
        summaries.insert(domain.summary);
    }
    silent.sort_by(|a, b| (a.address, &a.reason).cmp(&(b.address, &b.reason)));
    silent.dedup();
    let config = burn::Config::default();
    let whole = summaries.sum("all".into(), &config);
    Reading {
        report: whole.report(&config),
        silent,
    }
}

/// Reads the same path of all entry instances at once, and returns those answers that came.
async fn read_all<T: DeserializeOwned>(
    client: &Client,
    config: &Config,
    path: &str,
) -> Result<(Vec<(SocketAddr, T)>, Vec<Silent>), Error> {
    let asked = config
        .entries
        .iter()
        .map(|at| read_one(client, config, path, *at));
    let (mut heard, mut silent) = (Vec::new(), Vec::new());
    for (at, answer) in config.entries.iter().zip(join_all(asked).await) {
        match answer {
            Ok(answer) => heard.push((*at, answer)),
            Err(missing) => silent.push(missing),
        }
    }
    if heard.is_empty() {
        let reasons: Vec<String> = silent.iter().map(Silent::line).collect();
        return Err(Error::Silent(reasons.join("; ")));
    }
    Ok((heard, silent))
}

async fn read_one<T: DeserializeOwned>(
    client: &Client,
    config: &Config,
    path: &str,
    at: SocketAddr,
) -> Result<T, Silent> {
    let missing = |reason: String| Silent {
        address: at,
        reason,
    };
    let asked = async {
        let sent = client.get(format!("http://{at}{path}")).send().await;
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
