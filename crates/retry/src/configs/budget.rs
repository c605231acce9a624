//! Configuration of the retry budget.

use core::time::Duration;

/// How many retries each first attempt allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Tokens that a first attempt adds to its stage; a retry costs 1.
    pub stage_ratio: f64,
    /// Tokens that a first attempt adds to its client account at the stage.
    pub account_ratio: f64,
    /// Tokens that a stage starts with, so that an instance that has just started can retry.
    pub stage_initial: f64,
    /// Tokens that a client account starts with at a stage.
    pub account_initial: f64,
    /// Maximum number of tokens of a stage.
    pub stage_max: f64,
    /// Maximum number of tokens of a client account at a stage.
    pub account_max: f64,
    /// Time in which an idle stage or account regains its one reserve token.
    pub reserve_interval: Duration,
    /// Time after which an unused account is removed.
    pub idle_timeout: Duration,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            stage_ratio: 0.09,
            account_ratio: 0.2,
            stage_initial: 1.0,
            account_initial: 1.0,
            stage_max: 10.0,
            account_max: 5.0,
            reserve_interval: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(600),
        }
    }
}
