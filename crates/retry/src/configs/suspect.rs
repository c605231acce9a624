//! Bounds on contents that may crash backend servers.

use core::time::Duration;

/// How suspects are tried, refused and forgotten.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// When to ask again for a permit that another trial blocks.
    pub busy: Duration,
    /// How long no permit is given after a crash, so that all instances have heard of it and told where the
    /// content still runs.
    pub hold: Duration,
    /// How long a suspect or refused content is kept.
    pub keep: Duration,
    /// Most contents kept.
    pub most: usize,
    /// How long a permit holds; one not reported by then counts as a crash.
    pub permit: Duration,
}

impl Default for Suspect {
    fn default() -> Self {
        Self {
            busy: Duration::from_millis(50),
            hold: Duration::from_millis(200),
            keep: Duration::from_secs(24 * 60 * 60),
            most: 4_096,
            permit: Duration::from_secs(60),
        }
    }
}
