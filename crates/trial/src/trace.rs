//! Seeded traces: the requests with their arrival times, and the fault that is injected.

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

use crate::size::Size;

/// The kind of disturbance in a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// One client account sends ten times as many requests.
    Account,
    /// Five times the request rate while a failure domain is lost.
    BurstAndDomain,
    /// Five times the request rate.
    Burst,
    /// One in four servers of a stage dies and comes back cold and slow for a while.
    Cold,
    /// A failure domain is lost and comes back.
    Domain,
    /// One stage is down and comes back.
    Down,
    /// One in five servers of a stage is eight times slower.
    SlowServers,
    /// Requests that crash the servers that run them.
    Poison,
    /// Most requests share one prompt prefix.
    Prefix,
    /// One stage is four times slower.
    Slow,
    /// No disturbance.
    Steady,
}

impl Kind {
    /// Every kind.
    pub const ALL: &[Self] = &[
        Self::Steady,
        Self::Burst,
        Self::Slow,
        Self::Down,
        Self::Domain,
        Self::SlowServers,
        Self::Cold,
        Self::Account,
        Self::Prefix,
        Self::Poison,
        Self::BurstAndDomain,
    ];

    /// Returns the name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Account => "account",
            Self::BurstAndDomain => "both",
            Self::Burst => "burst",
            Self::Cold => "cold",
            Self::Domain => "domain",
            Self::Down => "down",
            Self::SlowServers => "lame",
            Self::Poison => "poison",
            Self::Prefix => "prefix",
            Self::Slow => "slow",
            Self::Steady => "steady",
        }
    }

    const fn has_burst(self) -> bool {
        matches!(self, Self::Burst | Self::BurstAndDomain)
    }

    /// Returns whether a failure domain is lost.
    pub const fn loses_domain(self) -> bool {
        matches!(self, Self::Domain | Self::BurstAndDomain)
    }
}

/// One request of a trace.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it is sent, in microseconds.
    pub at: u64,
    /// When it must be answered, in microseconds.
    pub deadline: u64,
    /// The index of its pipeline.
    pub pipeline: usize,
    /// The index of its account.
    pub account: usize,
    /// Its work at each stage, relative to the mean.
    pub work: Vec<f64>,
    /// Its prompt prefix.
    pub prefix: u64,
    /// Whether it crashes the servers of the main pool.
    pub poison: bool,
}

/// A trace.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The kind of disturbance.
    pub kind: Kind,
    /// Requests, in order of time.
    pub requests: Vec<Request>,
    /// When the disturbance begins, in microseconds.
    pub begin: u64,
    /// When it ends.
    pub end: u64,
    /// When the last request is sent.
    pub horizon: u64,
}

const MICROS_PER_SECOND: f64 = 1e6;
const BURST_FACTOR: f64 = 5.0;
const HOT_ACCOUNT_FACTOR: f64 = 10.0;
const HOT_PREFIX_SHARE: f64 = 0.6;
const PREFIX_COUNT: f64 = 400.0;
/// The slowdown of the slow stage.
pub const SLOW_STAGE_FACTOR: f64 = 4.0;
/// The slowdown of a cold server.
pub const COLD_FACTOR: f64 = 3.0;
/// One in this many servers is replaced by a cold one.
pub const COLD_EVERY: usize = 4;
/// The slowdown of a slow server.
pub const SLOW_SERVER_FACTOR: f64 = 8.0;
/// One in this many servers is slow.
pub const SLOW_SERVER_EVERY: usize = 5;
/// The spread of work, as the standard deviation of its logarithm.
const WORK_SIGMA: f64 = 0.4;

impl Trace {
    /// Creates a trace of `seconds`; the disturbance lasts for its second quarter.
    pub fn new(size: &Size, kind: Kind, seed: u64, seconds: f64) -> Self {
        let mut trace = Self {
            kind,
            requests: Vec::new(),
            begin: (seconds * 0.25 * MICROS_PER_SECOND) as u64,
            end: (seconds * 0.50 * MICROS_PER_SECOND) as u64,
            horizon: (seconds * MICROS_PER_SECOND) as u64,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut at = 0.0;
        loop {
            let rate = size.rate * trace.rate_factor(size, at as u64);
            let gap: f64 = Exp::new(rate)
                .expect("the rate is positive")
                .sample(&mut rng);
            at += gap * MICROS_PER_SECOND;
            if at as u64 >= trace.horizon {
                break;
            }
            let request = trace.request(size, &mut rng, at as u64);
            trace.requests.push(request);
        }
        if kind == Kind::Poison {
            trace.poison(size);
        }
        trace
    }

    /// Returns whether a time is within the disturbance.
    pub const fn is_disturbed(&self, at: u64) -> bool {
        self.begin <= at && at < self.end
    }

    fn rate_factor(&self, size: &Size, at: u64) -> f64 {
        if !self.is_disturbed(at) {
            1.0
        } else if self.kind.has_burst() {
            BURST_FACTOR
        } else if self.kind == Kind::Account {
            1.0 + (HOT_ACCOUNT_FACTOR - 1.0) * hot_share(size)
        } else {
            1.0
        }
    }

    fn request(&self, size: &Size, rng: &mut ChaCha8Rng, at: u64) -> Request {
        let shares = size.pipelines.iter().map(|pipeline| pipeline.share);
        let pipeline = choose_index(rng, shares);
        let work = LogNormal::new(-WORK_SIGMA * WORK_SIGMA / 2.0, WORK_SIGMA)
            .expect("the deviation is finite");
        let stages = &size.pipelines[pipeline].stages;
        let hot = self.is_disturbed(at);
        let account_hot = hot && self.kind == Kind::Account;
        let factor = |at| {
            if account_hot && at == hot_account(size) {
                HOT_ACCOUNT_FACTOR
            } else {
                1.0
            }
        };
        let shares = size.accounts.iter().enumerate();
        let shares: Vec<f64> = shares.map(|(at, one)| one.share * factor(at)).collect();
        let account = choose_index(rng, shares.into_iter());
        let prefix = if hot && self.kind == Kind::Prefix && rng.random_bool(HOT_PREFIX_SHARE) {
            0
        } else {
            Zipf::new(PREFIX_COUNT, 1.0)
                .expect("the Zipf parameters are valid")
                .sample(rng) as u64
        };
        Request {
            at,
            deadline: at + (size.pipelines[pipeline].deadline * MICROS_PER_SECOND) as u64,
            pipeline,
            account,
            work: stages.iter().map(|_| work.sample(rng)).collect(),
            prefix,
            poison: false,
        }
    }

    /// Marks a few requests to the main pool as harmful, spread over the disturbance.
    fn poison(&mut self, size: &Size) {
        const COUNT: u64 = 4;
        for number in 0..COUNT {
            let from = self.begin + (self.end - self.begin) * number / COUNT;
            let found = self.requests.iter_mut().find(|request| {
                let pipeline = &size.pipelines[request.pipeline];
                request.at >= from && pipeline.stages.contains(&size.main)
            });
            if let Some(request) = found {
                request.poison = true;
            }
        }
    }
}

/// Returns the index of the account whose load rises: the last of five.
pub fn hot_account(size: &Size) -> usize {
    4.min(size.accounts.len() - 1)
}

fn hot_share(size: &Size) -> f64 {
    size.accounts[hot_account(size)].share
}

fn choose_index(rng: &mut ChaCha8Rng, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = shares.clone().sum();
    let mut left = rng.random_range(0.0..total);
    for (at, share) in shares.enumerate() {
        left -= share;
        if left <= 0.0 {
            return at;
        }
    }
    0
}
