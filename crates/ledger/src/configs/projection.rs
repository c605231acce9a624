//! Configuration of the projection.

use core::time::Duration;

use thiserror::Error;

/// How long the ledger knows a key, and what that rests on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Projection {
    /// The largest error of an instance's or a caller's wall clock.
    pub clock_error: Duration,
    /// The age of its key from which on a call is refused.
    pub horizon: Duration,
    /// The longest time for which an instance may stand still between reading its clock and
    /// acting on it.
    pub max_pause: Duration,
    /// The time for which the log keeps records at least.
    pub retention: Duration,
}

/// Why a configuration of the projection is not safe.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The log may drop a claim whose key is still accepted.
    #[error(
        "horizon {horizon:?} + 3 x clock error {clock_error:?} + longest pause {longest_pause:?} \
         must be less than retention {retention:?}"
    )]
    Retention {
        /// The horizon.
        horizon: Duration,
        /// The clock error.
        clock_error: Duration,
        /// The longest pause.
        longest_pause: Duration,
        /// The retention.
        retention: Duration,
    },
}

impl Projection {
    /// Checks that no claim leaves the log while its key is still accepted.
    ///
    /// A key may be ahead of true time by two clock errors when it is first accepted, and an
    /// instance may be behind by one when it accepts it for the last time.
    ///
    /// # Errors
    ///
    /// - `Retention`: the log may drop a claim whose key is still accepted.
    ///
    /// # Examples
    ///
    /// ```
    /// use ledger::configs::Projection;
    /// let config = Projection::default();
    /// assert!(config.check().is_ok());
    /// assert!(Projection { retention: config.horizon, ..config }.check().is_err());
    /// ```
    pub fn validate(&self) -> Result<(), Error> {
        if self.horizon + 3 * self.clock_error + self.max_pause < self.retention {
            return Ok(());
        }
        Err(Error::Retention {
            horizon: self.horizon,
            clock_error: self.clock_error,
            longest_pause: self.max_pause,
            retention: self.retention,
        })
    }
}

impl Default for Projection {
    fn default() -> Self {
        Self {
            clock_error: Duration::from_secs(60),
            horizon: Duration::from_secs(24 * 3600),
            max_pause: Duration::from_secs(3600),
            retention: Duration::from_secs(48 * 3600),
        }
    }
}
