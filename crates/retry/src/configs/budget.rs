//! Shares and reserves of the retry budget.

use core::time::Duration;

/// How many further attempts first attempts pay for.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Tokens that a first attempt adds to its stage; one further attempt costs 1.
    pub stage_ratio: f64,
    /// Tokens that a first attempt adds to its client account at the stage.
    pub account_ratio: f64,
    /// Tokens that a stage holds when it is first heard of, so that an instance that has just
    /// started can retry.
    pub stage_initial: f64,
    /// Tokens that a client account holds at a stage when it is first heard of there.
    pub account_initial: f64,
    /// Most tokens that a stage holds.
    pub stage_max: f64,
    /// Most tokens that a client account holds at a stage.
    pub account_max: f64,
    /// Time in which an idle stage or account gains its one reserve token.
    pub reserve_interval: Duration,
    /// An account unused for this long is forgotten.
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
