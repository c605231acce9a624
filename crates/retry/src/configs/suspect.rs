//! Configuration of the handling of contents that may crash backend servers.

use core::time::Duration;

/// How suspect contents are tried, refused and expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Time after which an instance asks again for a permit that another trial blocks.
    pub busy_retry_interval: Duration,
    /// Time after a crash in which no permit is granted, so that all instances learn of the crash and report
    /// where the content still runs.
    pub crash_cooldown: Duration,
    /// Time for which a suspect or refused content is kept.
    pub retention: Duration,
    /// Maximum number of contents kept.
    pub max_entries: usize,
    /// Time for which a permit is valid; an attempt not reported by then counts as a crash.
    pub permit_lifetime: Duration,
}

impl Default for Suspect {
    fn default() -> Self {
        Self {
            busy_retry_interval: Duration::from_millis(50),
            crash_cooldown: Duration::from_millis(200),
            retention: Duration::from_secs(24 * 60 * 60),
            max_entries: 4_096,
            permit_lifetime: Duration::from_secs(60),
        }
    }
}
