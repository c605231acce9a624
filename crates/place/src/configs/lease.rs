//! Configuration of the planner's lease.

use core::time::Duration;

/// Periods of the planner's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Maximum difference between two monotonic clocks over a term.
    pub clock_drift: Duration,
    /// Maximum time from the check of the lease to the effect of an order.
    pub order_limit: Duration,
    /// Time before the end of a lease at which it is renewed.
    pub renewal_margin: Duration,
    /// Delay before a failed append or read is retried, and interval between reads.
    pub retry_interval: Duration,
    /// Duration of a lease, counted from before its record is sent.
    pub term: Duration,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            clock_drift: Duration::from_millis(100),
            order_limit: Duration::from_secs(5),
            renewal_margin: Duration::from_secs(10),
            retry_interval: Duration::from_secs(1),
            term: Duration::from_secs(30),
        }
    }
}

impl Lease {
    /// Returns the periods for a term.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use place::configs::Lease;
    /// let default = Lease::default();
    /// assert_eq!(Lease::from_term(default.term, default.order_limit), default);
    /// ```
    pub fn from_term(term: Duration, order_limit: Duration) -> Self {
        Self {
            order_limit,
            renewal_margin: term / 3,
            retry_interval: term / 30,
            term,
            ..Self::default()
        }
    }
}
