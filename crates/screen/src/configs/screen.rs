//! Settings that decide which period a screen shows.

use core::time::Duration;

/// Settings that decide which period a screen shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Screen {
    /// The number of periods after which a failure domain without a summary is shown as not heard.
    pub max_lag_periods: u64,
    /// The number of periods kept for each failure domain.
    pub max_periods: usize,
    /// The age from which a view is marked as old.
    pub stale_age: Duration,
    /// The period in which failure domains seal their summaries.
    pub period: Duration,
    /// The number of periods after which every instance normally has the summaries of a period.
    pub settle_periods: u64,
}

impl Default for Screen {
    fn default() -> Self {
        Self {
            max_lag_periods: 4,
            max_periods: 8,
            stale_age: Duration::from_secs(60),
            period: Duration::from_secs(10),
            settle_periods: 2,
        }
    }
}
