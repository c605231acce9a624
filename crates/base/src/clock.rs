//! The time of day without the temporary steps of the system's clock.

use core::time::Duration;

use crate::Stamp;

/// How far the time of day may drift between two readings without counting as a step.
const MAX_DRIFT_MS: u64 = 100;

/// How long a step must have lasted before the time of day follows it.
const STEP_HOLD: Duration = Duration::from_secs(60);

/// A clock whose readings can be compared with those of other machines while the system's clock of one of them steps.
///
/// # Examples
///
/// ```
/// use base::{Stamp, clock::Clock};
/// use core::time::Duration;
/// let mut clock = Clock::default();
/// let start = clock.read(Duration::from_secs(1), Stamp::from_millis(70_000));
/// // Two seconds later the system's clock has stepped ahead by another five.
/// let later = clock.read(Duration::from_secs(3), Stamp::from_millis(77_000));
/// assert_eq!(later - start, Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// The Unix time of the boot in milliseconds.
    boot_ms: Option<u64>,
    /// Another time of the boot, and since when the system's clock suggests it.
    step: Option<(u64, Duration)>,
}

impl Clock {
    /// Returns the time of day, from the time since the boot, suspensions included, and the reading of the system's clock.
    pub fn read(&mut self, since_boot: Duration, system: Stamp) -> Stamp {
        let since_boot_ms = u64::try_from(since_boot.as_millis()).unwrap_or(u64::MAX);
        let boot_ms = system.as_millis().saturating_sub(since_boot_ms);
        let is_near = |other: u64| boot_ms.abs_diff(other) <= MAX_DRIFT_MS;
        if self.boot_ms.is_none_or(is_near) {
            self.boot_ms = Some(boot_ms);
            self.step = None;
        } else {
            match self.step {
                Some((stepped, since)) if is_near(stepped) => {
                    if since_boot.saturating_sub(since) >= STEP_HOLD {
                        self.boot_ms = Some(boot_ms);
                        self.step = None;
                    }
                }
                _ => self.step = Some((boot_ms, since_boot)),
            }
        }
        let boot_ms = self.boot_ms.unwrap_or(boot_ms);
        Stamp::from_millis(boot_ms.saturating_add(since_boot_ms))
    }
}
