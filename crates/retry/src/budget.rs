//! The budget of further attempts: retries, hedges and callers' own repeats.

use core::time::Duration;

use base::{Name, Tick};
use thiserror::Error;

use crate::configs;

/// Tokens by stage and by client account at each stage.
///
/// A first attempt adds a share of a token to both; a further attempt takes one from both. So over any time
/// the attempts at a stage are at most 1.09 times its first attempts, plus the 10 tokens that it may have
/// saved, plus one for each 10 s; and no client account takes them all.
#[derive(Clone, Debug)]
pub struct Budget {
    config: configs::budget::Budget,
    stages: Vec<Stage>,
}

#[derive(Clone, Debug)]
struct Stage {
    name: Name,
    bucket: Bucket,
    accounts: Vec<Account>,
}

#[derive(Clone, Debug)]
struct Account {
    name: Name,
    bucket: Bucket,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    touched: Tick,
}

/// The budget is spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the retry budget is spent; the next attempt is paid for in {after:?} at the latest")]
pub struct Spent {
    /// When a token is there at the latest, if nobody else takes it.
    pub after: Duration,
}

impl Budget {
    /// Opens a budget.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Name, Tick};
    /// let mut budget = retry::Budget::open(retry::configs::budget::Budget::default());
    /// let (stage, account) = (Name::from("generate"), Name::from("adinkra"));
    /// let now = Tick::default();
    /// budget.first(now, &stage, &account);
    /// assert!(budget.again(now, &stage, &account).is_ok());
    /// assert!(budget.again(now, &stage, &account).is_err());
    /// ```
    pub const fn open(config: configs::budget::Budget) -> Self {
        Self {
            config,
            stages: Vec::new(),
        }
    }

    /// Counts a first attempt of a request that its caller has not sent before.
    pub fn first(&mut self, now: Tick, stage: &Name, account: &Name) {
        let config = self.config.clone();
        let (stage, account) = self.buckets(now, stage, account);
        stage.add(config.stage, config.stage_most);
        account.add(config.account, config.account_most);
    }

    /// Takes the token for a further attempt: a retry, a hedge or a caller's own repeat.
    ///
    /// # Errors
    ///
    /// - The stage or the client account at it has no token left; nothing is taken.
    pub fn again(&mut self, now: Tick, stage: &Name, account: &Name) -> Result<(), Spent> {
        let reserve = self.config.reserve;
        let (stage, account) = self.buckets(now, stage, account);
        let least = stage.tokens.min(account.tokens);
        if least < 1.0 {
            let after = reserve.mul_f64(1.0 - least.max(0.0));
            return Err(Spent { after });
        }
        stage.tokens -= 1.0;
        account.tokens -= 1.0;
        Ok(())
    }

    /// Forgets client accounts that were idle for long.
    pub fn sweep(&mut self, now: Tick) {
        let idle = self.config.idle;
        for stage in &mut self.stages {
            stage
                .accounts
                .retain(|account| now - account.bucket.touched < idle);
        }
    }

    fn buckets(&mut self, now: Tick, stage: &Name, account: &Name) -> (&mut Bucket, &mut Bucket) {
        let reserve = self.config.reserve;
        let at = match self.stages.binary_search_by(|one| one.name.cmp(stage)) {
            Ok(at) => at,
            Err(at) => {
                let bucket = Bucket::new(now, self.config.stage_start);
                self.stages.insert(at, Stage::new(stage, bucket));
                at
            }
        };
        let stage = &mut self.stages[at];
        let at = match stage.accounts.binary_search_by(|one| one.name.cmp(account)) {
            Ok(at) => at,
            Err(at) => {
                let bucket = Bucket::new(now, self.config.account_start);
                stage.accounts.insert(at, Account::new(account, bucket));
                at
            }
        };
        let account = &mut stage.accounts[at].bucket;
        stage.bucket.refill(now, reserve);
        account.refill(now, reserve);
        (&mut stage.bucket, account)
    }
}

impl Stage {
    fn new(name: &Name, bucket: Bucket) -> Self {
        Self {
            name: name.clone(),
            bucket,
            accounts: Vec::new(),
        }
    }
}

impl Account {
    fn new(name: &Name, bucket: Bucket) -> Self {
        Self {
            name: name.clone(),
            bucket,
        }
    }
}

impl Bucket {
    const fn new(now: Tick, tokens: f64) -> Self {
        Self {
            tokens,
            touched: now,
        }
    }

    fn add(&mut self, share: f64, most: f64) {
        self.tokens = (self.tokens + share).min(most);
    }

    /// Lets the reserve grow with time, up to one token.
    fn refill(&mut self, now: Tick, reserve: Duration) {
        let gain = (now - self.touched).div_duration_f64(reserve);
        self.touched = now;
        if self.tokens < 1.0 {
            self.tokens = (self.tokens + gain).min(1.0);
        }
    }
}
