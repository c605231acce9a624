//! Requests that crash the servers that run them, identified by their content.

use core::time::Duration;

use base::{Name, Tick};

/// Number of crashed servers at which a content is refused; the platform limits its retries from the third on.
pub const CRASH_LIMIT: usize = 3;

/// Time for which a content is kept after its last crash.
const RETENTION: Duration = Duration::from_secs(120);

/// Number of contents at which those older than a quarter of the retention time are removed.
const MAX_CONTENTS: usize = 10_000;

/// Contents that were running when servers crashed.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    contents: Vec<Content>,
}

#[derive(Clone, Debug)]
struct Content {
    digest: u64,
    servers: Vec<Name>,
    updated: Tick,
}

impl Crashes {
    /// Records that a content was running at a server that crashed, and returns whether that was unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// let mut crashes = retry::Crashes::default();
    /// for server in ["i-1", "i-2", "i-3"] {
    ///     crashes.record(Tick::default(), 7, &server.into());
    /// }
    /// assert!(crashes.is_harmful(7));
    /// assert!(!crashes.is_harmful(8));
    /// ```
    pub fn record(&mut self, now: Tick, digest: u64, server: &Name) -> bool {
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
                    servers: Vec::new(),
                    updated: now,
                };
                self.contents.insert(at, content);
                at
            }
        };
        let content = &mut self.contents[at];
        content.updated = now;
        match content.servers.binary_search(server) {
            Ok(_) => false,
            Err(at) => {
                content.servers.insert(at, server.clone());
                true
            }
        }
    }

    /// Removes a content that was answered, and so does not crash servers.
    pub fn clear(&mut self, digest: u64) {
        if let Ok(at) = self.find(digest) {
            self.contents.remove(at);
        }
    }

    /// Returns the number of servers that a content is known to have crashed.
    pub fn count(&self, digest: u64) -> usize {
        self.find(digest)
            .map_or(0, |at| self.contents[at].servers.len())
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
