//! The retry budget, which covers retries, hedges and requests resent by callers.

use core::time::Duration;

use base::{Name, Tick};
use thiserror::Error;

use crate::configs;

/// Token buckets per stage, and per client account at each stage.
///
/// A first attempt adds a share of a token to both buckets, and a retry takes one token from both. So over any
/// period the attempts at a stage are at most 1.09 times its first attempts, plus the 10 tokens that it may have
/// saved, plus one for each 10 s; and no client account can take them all.
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
    updated: Tick,
}

/// The retry budget is exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("retry budget is exhausted; a token is available in at most {retry_after:?}")]
pub struct Exhausted {
    /// Maximum time until a token is available, unless another attempt takes it.
    pub retry_after: Duration,
}

impl Budget {
    /// Creates a budget.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Name, Tick};
    /// let mut budget = retry::Budget::new(retry::configs::budget::Budget::default());
    /// let (stage, account) = (Name::from("generate"), Name::from("adinkra"));
    /// let now = Tick::default();
    /// budget.deposit(now, &stage, &account);
    /// assert!(budget.try_withdraw(now, &stage, &account).is_ok());
    /// assert!(budget.try_withdraw(now, &stage, &account).is_err());
    /// ```
    pub const fn new(config: configs::budget::Budget) -> Self {
        Self {
            config,
            stages: Vec::new(),
        }
    }

    /// Adds the share of a token for the first attempt of a request that its caller has not sent before.
    pub fn deposit(&mut self, now: Tick, stage: &Name, account: &Name) {
        let config = self.config.clone();
        let (stage, account) = self.buckets(now, stage, account);
        stage.add(config.stage_ratio, config.stage_max);
        account.add(config.account_ratio, config.account_max);
    }

    /// Takes a token for a retry, a hedge or a request resent by its caller.
    ///
    /// # Errors
    ///
    /// - The stage, or the client account at the stage, has no token left; nothing is taken.
    pub fn try_withdraw(
        &mut self,
        now: Tick,
        stage: &Name,
        account: &Name,
    ) -> Result<(), Exhausted> {
        let reserve = self.config.reserve_interval;
        let (stage, account) = self.buckets(now, stage, account);
        let available = stage.tokens.min(account.tokens);
        if available < 1.0 {
            let retry_after = reserve.mul_f64(1.0 - available.max(0.0));
            return Err(Exhausted { retry_after });
        }
        stage.tokens -= 1.0;
        account.tokens -= 1.0;
        Ok(())
    }

    /// Removes client accounts that exceed the idle timeout.
    pub fn sweep(&mut self, now: Tick) {
        let idle = self.config.idle_timeout;
        for stage in &mut self.stages {
            stage
                .accounts
                .retain(|account| now - account.bucket.updated < idle);
        }
    }

    /// Returns the refilled buckets of a stage and of a client account there, and adds those that are missing.
    fn buckets(&mut self, now: Tick, stage: &Name, account: &Name) -> (&mut Bucket, &mut Bucket) {
        let reserve = self.config.reserve_interval;
        let at = match self.stages.binary_search_by(|entry| entry.name.cmp(stage)) {
            Ok(at) => at,
            Err(at) => {
                let bucket = Bucket::new(now, self.config.stage_initial);
                self.stages.insert(at, Stage::new(stage, bucket));
                at
            }
        };
        let stage = &mut self.stages[at];
        let at = match stage
            .accounts
            .binary_search_by(|entry| entry.name.cmp(account))
        {
            Ok(at) => at,
            Err(at) => {
                let bucket = Bucket::new(now, self.config.account_initial);
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
            updated: now,
        }
    }

    fn add(&mut self, tokens: f64, max: f64) {
        self.tokens = (self.tokens + tokens).min(max);
    }

    /// Adds one token per reserve interval for the elapsed time, up to a level of one token.
    fn refill(&mut self, now: Tick, reserve_interval: Duration) {
        let gained = (now - self.updated).div_duration_f64(reserve_interval);
        self.updated = now;
        if self.tokens < 1.0 {
            self.tokens = (self.tokens + gained).min(1.0);
        }
    }
}
