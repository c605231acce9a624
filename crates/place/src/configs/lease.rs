//! Configuration of the planner's lease.

use core::time::Duration;

/// How long a lease lasts and what a new holder waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// By how much two monotonic clocks may differ over a term.
    pub clock_drift: Duration,
    /// The longest time from the check of the lease to the effect of an order.
    pub order_limit: Duration,
    /// How long before its end a lease is renewed.
    pub renewal_margin: Duration,
    /// How long a failed append or read is not tried again, and how often others read.
    pub retry_interval: Duration,
    /// How long a lease lasts from before its record was sent.
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
    /// Returns the periods that go with a term.
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
