//! Shares and reserves of the retry budget.

use core::time::Duration;

/// How many further attempts first attempts pay for.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Tokens that a first attempt adds to its stage; one further attempt costs 1.
    pub stage: f64,
    /// Tokens that a first attempt adds to its client account at the stage.
    pub account: f64,
    /// Tokens that a stage holds when it is first heard of, so that an instance that has just
    /// started can retry.
    pub stage_start: f64,
    /// Tokens that a client account holds at a stage when it is first heard of there.
    pub account_start: f64,
    /// Most tokens that a stage holds.
    pub stage_most: f64,
    /// Most tokens that a client account holds at a stage.
    pub account_most: f64,
    /// Time in which an idle stage or account gains its one reserve token.
    pub reserve: Duration,
    /// An account unused for this long is forgotten.
    pub idle: Duration,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            stage: 0.09,
            account: 0.2,
            stage_start: 1.0,
            account_start: 1.0,
            stage_most: 10.0,
            account_most: 5.0,
            reserve: Duration::from_secs(10),
            idle: Duration::from_secs(600),
        }
    }
}
