//! Settings of the burn report.

use core::time::Duration;

/// Settings of the burn report.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The number of client accounts that a closed bucket counts by name: those with the most requests.
    pub max_accounts: usize,
    /// The number of client accounts that a summary counts by name: those with the most requests.
    pub max_summary_accounts: usize,
    /// How long buckets of a minute are kept before their origin merges them into buckets of an hour.
    pub minute_retention: Duration,
    /// How long buckets are kept.
    pub retention: Duration,
    /// Pairs of windows with the burn rate that both must reach to raise an alarm.
    pub alarms: Vec<Alarm>,
    /// The window over which the error budget is counted.
    pub budget_window: Duration,
}

/// An alarm: a pair of windows with a burn rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Alarm {
    /// The short window, which shows that the burn is still going on.
    pub short: Duration,
    /// The long window, which shows that the burn is significant.
    pub long: Duration,
    /// The burn rate that both must reach; a rate of 1 spends exactly the budget.
    pub rate: f64,
}

const fn minutes(count: u64) -> Duration {
    Duration::from_secs(count * 60)
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_accounts: 32,
            max_summary_accounts: 128,
            minute_retention: minutes(70),
            retention: minutes(3 * 24 * 60),
            alarms: vec![
                Alarm {
                    short: minutes(5),
                    long: minutes(60),
                    rate: 14.4,
                },
                Alarm {
                    short: minutes(30),
                    long: minutes(6 * 60),
                    rate: 6.0,
                },
            ],
            budget_window: minutes(3 * 24 * 60),
        }
    }
}
