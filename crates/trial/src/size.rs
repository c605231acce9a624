//! Sizes of the deployments that trials run on.

/// A deployment.
#[derive(Clone, Debug)]
pub struct Size {
    /// The name.
    pub name: &'static str,
    /// Failure domains.
    pub domains: usize,
    /// Entry instances.
    pub instances: usize,
    /// Requests a second before any burst.
    pub rate: f64,
    /// Pools; stages refer to them by index.
    pub pools: Vec<Pool>,
    /// Pipelines.
    pub pipelines: Vec<Pipeline>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// The pool that faults of one stage hit.
    pub main: usize,
}

/// A pool of backend servers.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The name.
    pub name: &'static str,
    /// Backend servers.
    pub servers: usize,
    /// Batch slots of each server.
    pub concurrency: u32,
    /// Mean service time in an empty batch, in seconds, prefill included.
    pub service: f64,
    /// Whether the servers report their load.
    pub reports_load: bool,
    /// Tokens of a prompt prefix; 0 if the servers cache none.
    pub prefix_tokens: u32,
}

/// A pipeline.
#[derive(Clone, Debug)]
pub struct Pipeline {
    /// The name.
    pub name: &'static str,
    /// The indexes of its stages' pools.
    pub stages: Vec<usize>,
    /// The priority; a higher one goes first.
    pub priority: u8,
    /// The share of all requests.
    pub share: f64,
    /// The time from arrival to deadline, in seconds.
    pub deadline: f64,
}

/// A client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// The name.
    pub name: String,
    /// The share of all requests.
    pub share: f64,
}

/// Three days, in seconds.
const THREE_DAYS: f64 = 3.0 * 86_400.0;

impl Size {
    /// Every size.
    pub fn all() -> Vec<Self> {
        vec![Self::adinkra(), Self::compas(), Self::scaled()]
    }

    /// The current size of the Adinkra deployment.
    pub fn adinkra() -> Self {
        Self {
            name: "adinkra",
            domains: 4,
            instances: 8,
            rate: 213.0,
            pools: vec![
                pool("artist-portfolio", 5, 0.030, true),
                pool("author-portal", 5, 0.020, true),
                engine("brief-writer", 20),
                pool("commission-ledger", 4, 0.020, false),
                pool("message-board", 5, 0.025, true),
            ],
            pipelines: vec![
                pipeline("answer", &[1, 0, 2], 5, 0.50, 5.0),
                pipeline("summary", &[2, 4], 3, 0.20, 5.0),
                pipeline("draft", &[0, 2], 3, 0.05, THREE_DAYS),
                pipeline("status", &[1], 5, 0.15, 2.0),
                pipeline("deposit", &[3, 4], 5, 0.10, 5.0),
            ],
            accounts: accounts(&[0.4, 0.3, 0.1, 0.1, 0.1]),
            main: 2,
        }
    }

    /// The current size of the Compás deployment.
    pub fn compas() -> Self {
        Self {
            name: "compas",
            domains: 3,
            instances: 6,
            rate: 100.0,
            pools: vec![
                pool("draw-board", 3, 0.020, true),
                pool("entries-api", 3, 0.030, false),
                engine("limpet-pool", 10),
                pool("notify-bands", 5, 0.025, true),
                pool("roster-sync", 5, 0.020, true),
            ],
            pipelines: vec![
                pipeline("summary", &[4, 0, 2], 8, 0.60, 5.0),
                pipeline("entry", &[1, 2, 3], 5, 0.20, 5.0),
                pipeline("status", &[0], 5, 0.15, 2.0),
                pipeline("fee", &[1, 3], 5, 0.05, 5.0),
            ],
            accounts: accounts(&[0.4, 0.3, 0.1, 0.1, 0.1]),
            main: 2,
        }
    }

    /// One failure domain of the size expected in two years, split into four smaller domains.
    pub fn scaled() -> Self {
        let shares: Vec<f64> = (1..=60).map(|rank| 1.0 / f64::from(rank)).collect();
        let total: f64 = shares.iter().sum();
        let shares: Vec<f64> = shares.iter().map(|share| share / total).collect();
        Self {
            name: "scaled",
            domains: 4,
            instances: 48,
            rate: 900.0,
            pools: vec![
                pool("encoders", 16, 0.020, true),
                pool("retrievers", 16, 0.030, true),
                pool("rerankers", 16, 0.040, true),
                engine("runners", 98),
                pool("services", 8, 0.020, false),
            ],
            pipelines: vec![
                pipeline("answer", &[0, 1, 2, 3], 5, 0.50, 5.0),
                pipeline("summary", &[0, 3, 4], 3, 0.30, 5.0),
                pipeline("lookup", &[0, 1, 4], 5, 0.20, 5.0),
            ],
            accounts: accounts(&shares),
            main: 3,
        }
    }
}

fn pool(name: &'static str, servers: usize, service: f64, reports_load: bool) -> Pool {
    Pool {
        name,
        servers,
        concurrency: 8,
        service,
        reports_load,
        prefix_tokens: 0,
    }
}

fn engine(name: &'static str, servers: usize) -> Pool {
    Pool {
        name,
        servers,
        concurrency: 8,
        service: 0.4,
        reports_load: true,
        prefix_tokens: 1_000,
    }
}

fn pipeline(
    name: &'static str,
    stages: &[usize],
    priority: u8,
    share: f64,
    deadline: f64,
) -> Pipeline {
    Pipeline {
        name,
        stages: stages.to_vec(),
        priority,
        share,
        deadline,
    }
}

fn accounts(shares: &[f64]) -> Vec<Account> {
    let account = |(at, share): (usize, &f64)| Account {
        name: format!("account-{at:02}"),
        share: *share,
    };
    shares.iter().enumerate().map(account).collect()
}
