//! Periods of screens.

use core::time::Duration;

/// Which period a screen shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Screen {
    /// Periods after which a failure domain that did not tell its summary counts as not heard.
    pub max_lag_periods: u64,
    /// Periods kept.
    pub max_periods: usize,
    /// An age from which a view is marked as old.
    pub stale_age: Duration,
    /// The period in which failure domains seal their summaries.
    pub period: Duration,
    /// Periods after which every instance has the summaries of one as a rule.
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
