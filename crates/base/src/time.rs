//! Monotonic instants for scheduling decisions and wall-clock timestamps for deadlines and reports.

use core::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A monotonic instant: microseconds since an origin that the process sets when it starts.
///
/// Sums and differences saturate, so subtracting a later instant gives zero.
///
/// # Examples
///
/// ```
/// use core::time::Duration;
/// let start = base::Tick::from_micros(5);
/// assert_eq!((start + Duration::from_micros(7)) - start, Duration::from_micros(7));
/// assert_eq!(start - (start + Duration::from_secs(1)), Duration::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tick(u64);

impl Tick {
    /// The latest representable instant; stands for "never".
    pub const MAX: Self = Self(u64::MAX);

    /// Builds an instant from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Builds an instant from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for Tick {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for Tick {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// A wall-clock timestamp: milliseconds since the Unix epoch.
///
/// Sums and differences saturate, so subtracting a later timestamp gives zero.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(u64);

impl Stamp {
    /// Builds a timestamp from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for Stamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl Sub for Stamp {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
