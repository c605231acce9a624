//! Requests that crash the servers that run them, known by their content.

use core::time::Duration;

use base::{Name, Tick};

/// Servers that one content may crash before it is refused; the platform bounds its retries from the third on.
pub const CRASH_LIMIT: usize = 3;

/// How long a content is remembered.
const RETENTION: Duration = Duration::from_secs(120);

/// The most contents that are remembered.
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
    /// Takes note that a content was running at a server that crashed, and tells whether that was new.
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

    /// Takes note that a content was answered: it crashes nobody.
    pub fn clear(&mut self, digest: u64) {
        if let Ok(at) = self.find(digest) {
            self.contents.remove(at);
        }
    }

    /// Returns how many servers a content crashed, as far as is known.
    pub fn count(&self, digest: u64) -> usize {
        self.find(digest)
            .map_or(0, |at| self.contents[at].servers.len())
    }

    /// Tells whether a content is to be refused.
    pub fn is_harmful(&self, digest: u64) -> bool {
        self.count(digest) >= CRASH_LIMIT
    }

    fn find(&self, digest: u64) -> Result<usize, usize> {
        self.contents
            .binary_search_by_key(&digest, |content| content.digest)
    }
}
