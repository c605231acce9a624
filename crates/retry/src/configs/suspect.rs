//! Bounds on contents that may crash backend servers.

use core::time::Duration;

/// How suspects are tried, refused and forgotten.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// When to ask again for a permit that another trial blocks.
    pub busy_retry_interval: Duration,
    /// How long no permit is given after a crash, so that all instances have heard of it and told where the
    /// content still runs.
    pub crash_cooldown: Duration,
    /// How long a suspect or refused content is kept.
    pub retention: Duration,
    /// Most contents kept.
    pub max_entries: usize,
    /// How long a permit holds; one not reported by then counts as a crash.
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
