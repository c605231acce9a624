//! Requests that crash the servers that run them, identified by their content.

use core::time::Duration;

use base::{Name, Stamp, Tick};

use crate::parts::Crash;

/// Number of crashes of servers at which a content is refused; the platform limits its retries from the third on.
pub const CRASH_LIMIT: usize = 3;

/// Time for which a content is kept after its last crash.
const RETENTION: Duration = Duration::from_secs(120);

/// Number of contents at which those older than a quarter of the retention time are removed.
const MAX_CONTENTS: usize = 10_000;

/// The shortest time between two crashes of a server, which takes longer to start again. Reports of one crash are closer,
/// but for clocks of instances that differ by more.
const MIN_UPTIME: Duration = Duration::from_secs(1);

/// Contents that were running when servers crashed.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    contents: Vec<Content>,
}

#[derive(Clone, Debug)]
struct Content {
    digest: u64,
    runs: Vec<Run>,
    updated: Tick,
}

/// A run of a server that crashed under a content.
#[derive(Clone, Debug)]
struct Run {
    server: Name,
    /// The start time of the run in Unix milliseconds, or 0 if unknown.
    started_at_ms: u64,
    crashed_at: Stamp,
}

impl Run {
    /// Returns whether a report is of the crash of this run. An instance with an older list reports an earlier start, so
    /// reports at the same time count as one crash whatever start they state.
    fn is_same(&self, crash: &Crash) -> bool {
        let is_unknown = self.started_at_ms == 0 || crash.started_at_ms == 0;
        let (earlier, later) = (self.crashed_at.min(crash.at), self.crashed_at.max(crash.at));
        self.server == crash.server
            && (is_unknown
                || self.started_at_ms == crash.started_at_ms
                || later - earlier < MIN_UPTIME)
    }
}

impl Crashes {
    /// Records that a content was running at a server that crashed, and returns whether that was unknown. A server that
    /// starts again under its id may crash again.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Stamp, Tick};
    /// use core::time::Duration;
    /// use retry::{Crashes, parts::Crash};
    /// let mut crashes = Crashes::default();
    /// for run in 1..=3 {
    ///     let at = Stamp::from_millis(9_000 * run);
    ///     let crash = Crash { server: "i-1".into(), started_at_ms: 9_000 * run - 500, at, request: 7, parts: vec![],
    ///         wrote: Duration::ZERO };
    ///     crashes.record(Tick::default(), 7, &crash);
    /// }
    /// assert!(crashes.is_harmful(7));
    /// assert!(!crashes.is_harmful(8));
    /// ```
    pub fn record(&mut self, now: Tick, digest: u64, crash: &Crash) -> bool {
        if self.contents.len() >= MAX_CONTENTS {
            self.contents
                .retain(|content| now - content.updated < RETENTION / 4);
        }
        self.contents
            .retain(|content| now - content.updated < RETENTION);
        let at = match self.find(digest) {
            Ok(at) => at,
            Err(at) => {
                let content = Content {
                    digest,
                    runs: Vec::new(),
                    updated: now,
                };
                self.contents.insert(at, content);
                at
            }
        };
        let content = &mut self.contents[at];
        content.updated = now;
        let is_new = !content.runs.iter().any(|run| run.is_same(crash));
        if is_new {
            content.runs.push(Run {
                server: crash.server.clone(),
                started_at_ms: crash.started_at_ms,
                crashed_at: crash.at,
            });
        }
        is_new
    }

    /// Removes a content that was answered, and so does not crash servers.
    pub fn clear(&mut self, digest: u64) {
        if let Ok(at) = self.find(digest) {
            self.contents.remove(at);
        }
    }

    /// Returns the number of crashes of servers that a content is known to have been running at.
    pub fn count(&self, digest: u64) -> usize {
        self.find(digest)
            .map_or(0, |at| self.contents[at].runs.len())
    }

    /// Returns whether a content is to be refused.
    pub fn is_harmful(&self, digest: u64) -> bool {
        self.count(digest) >= CRASH_LIMIT
    }

    fn find(&self, digest: u64) -> Result<usize, usize> {
        self.contents
            .binary_search_by_key(&digest, |content| content.digest)
    }
}
