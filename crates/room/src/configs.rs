//! Settings of admission control.

use core::time::Duration;

/// Settings with their defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The age up to which a backlog counts in full.
    pub full_age: Duration,
    /// The age from which a backlog is ignored.
    pub max_age: Duration,
    /// The largest number of shards whose backlogs are kept.
    pub max_shards: usize,
    /// The time, in full calls of the longest stage, by which a request must be expected to be late to be taken for late:
    /// waits are those of full calls behind all work of the rank, and the shards' own plans drop what is late in fact.
    pub tolerance_calls: f64,
    /// The part of the memory for results, in thousandths, from which on late work doesn't start.
    pub max_memory_permille: u16,
    /// The share of the time left at arrival that a request may be delayed, which is the share that callers wait after
    /// a refusal at most.
    pub max_delay_share: f64,
    /// The shortest and longest time after which a delayed request is decided on again.
    pub delay_steps: (Duration, Duration),
    /// The time in which the recorded work of an account halves.
    pub account_half_life: Duration,
    /// The largest number of accounts that are tracked.
    pub max_accounts: usize,
    /// The multiple of its fair share from which on an account yields.
    pub max_shares: f64,
    /// The part of the requests of a yielding account that is treated as those of others, so that it isn't starved: a
    /// quarter of the level for all is required.
    pub spared_share: f64,
    /// The time over which the longest deadline of a route is kept at least.
    pub deadline_memory: Duration,
    /// The part of a route's longest deadline below which a caller has returned: first attempts state 0.85 of it or more.
    pub min_first_deadline: f64,
    /// The part of it that first attempts state on average.
    pub mean_first_deadline: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            full_age: Duration::from_secs(1),
            max_age: Duration::from_secs(3),
            max_shards: 512,
            tolerance_calls: 0.5,
            max_memory_permille: 900,
            max_delay_share: 0.33,
            delay_steps: (Duration::from_millis(20), Duration::from_millis(250)),
            account_half_life: Duration::from_secs(5),
            max_accounts: 4_096,
            max_shares: 2.0,
            spared_share: 0.3,
            deadline_memory: Duration::from_secs(30),
            min_first_deadline: 0.8,
            mean_first_deadline: 0.925,
        }
    }
}
