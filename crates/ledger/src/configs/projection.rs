//! Configuration of a partition's projection.

use core::time::Duration;

use thiserror::Error;

/// How long the ledger accepts a key, and the assumptions behind that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Projection {
    /// The largest error of an instance's or a caller's wall clock.
    pub clock_error: Duration,
    /// The key age beyond which a call is refused.
    pub horizon: Duration,
    /// The longest pause of an instance between reading its clock and acting on it.
    pub max_pause: Duration,
    /// The minimum time for which the log keeps records.
    pub retention: Duration,
}

/// Why a configuration of the projection is unsafe.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The log may drop a claim whose key is still accepted.
    #[error(
        "horizon {horizon:?} + 3 x clock error {clock_error:?} + maximum pause {max_pause:?} \
         must be less than retention {retention:?}"
    )]
    Retention {
        /// The horizon.
        horizon: Duration,
        /// The clock error.
        clock_error: Duration,
        /// The maximum pause.
        max_pause: Duration,
        /// The retention.
        retention: Duration,
    },
}

impl Projection {
    /// Checks that the log keeps every claim whose key is still accepted.
    ///
    /// A key may be ahead of true time by two clock errors when it is first accepted, and an
    /// instance may be behind by one clock error when it accepts the key for the last time.
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
    /// assert!(config.validate().is_ok());
    /// assert!(Projection { retention: config.horizon, ..config }.validate().is_err());
    /// ```
    pub fn validate(&self) -> Result<(), Error> {
        if self.horizon + 3 * self.clock_error + self.max_pause < self.retention {
            return Ok(());
        }
        Err(Error::Retention {
            horizon: self.horizon,
            clock_error: self.clock_error,
            max_pause: self.max_pause,
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
