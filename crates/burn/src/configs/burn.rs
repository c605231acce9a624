//! Settings of the report on burn.

use core::time::Duration;

/// Settings of the report on burn.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Client accounts that a closed bucket counts by name, those with the most requests.
    pub max_accounts: usize,
    /// Client accounts that a summary for a report counts by name, those with the most requests.
    pub max_summary_accounts: usize,
    /// How long buckets of a minute are kept before their origin joins them by the hour.
    pub minute_retention: Duration,
    /// How long anything is kept.
    pub retention: Duration,
    /// Pairs of windows with the burn rate at which both together raise an alarm.
    pub alarms: Vec<Alarm>,
    /// The window over which the error budget is counted.
    pub budget_window: Duration,
}

/// A pair of windows with a burn rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Alarm {
    /// The window that shows that the burn goes on.
    pub short: Duration,
    /// The window that shows that the burn matters.
    pub long: Duration,
    /// The burn rate that both must reach; 1 spends the budget exactly.
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
