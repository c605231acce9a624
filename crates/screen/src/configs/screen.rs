//! Periods of screens.

use core::time::Duration;

/// Which period a screen shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Screen {
    /// Periods after which a failure domain that did not tell its summary counts as not heard.
    pub lag: u64,
    /// Periods kept.
    pub kept: usize,
    /// An age from which a view is marked as old.
    pub old: Duration,
    /// The period in which failure domains seal their summaries.
    pub period: Duration,
    /// Periods after which every instance has the summaries of one as a rule.
    pub settle: u64,
}

impl Default for Screen {
    fn default() -> Self {
        Self {
            lag: 4,
            kept: 8,
            old: Duration::from_secs(60),
            period: Duration::from_secs(10),
            settle: 2,
        }
    }
}
