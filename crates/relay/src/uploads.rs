//! The bytes of requests that servers hold for this instance, and their limit after a crash under many of them.

use core::time::Duration;

use base::{Name, Tick};

/// The bytes from which a crash may come of what its server held. Servers hold more than this in usual operation only for
/// large uploads.
const MIN_CRASH_BYTES: usize = 4 * 1024 * 1024;

/// The time within which broken requests of a server count as one crash.
const CRASH_SPAN: Duration = Duration::from_secs(5);

/// The time after which the limit doubles, as a crash may have had another cause.
const DOUBLING_TIME: Duration = Duration::from_secs(60);

/// How often the limit doubles before it is dropped.
const MAX_DOUBLINGS: u32 = 6;

/// The bytes of requests at servers.
///
/// # Examples
///
/// ```
/// use base::{Name, Tick};
/// use relay::uploads::Uploads;
///
/// let (pool, crashed, other) = (Name::from("p"), Name::from("i-1"), Name::from("i-2"));
/// let (mut uploads, now) = (Uploads::default(), Tick::from_millis(5));
/// uploads.begin(&crashed, 8_000_000);
/// uploads.record_crash(now, &pool, &crashed, uploads.at_server(&crashed));
/// uploads.begin(&other, 5_000_000);
/// assert!(uploads.may_send(now, &pool, &other, 2_000_000));
/// assert!(!uploads.may_send(now, &pool, &other, 3_000_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Uploads {
    servers: Vec<(Name, usize)>,
    limits: Vec<Limit>,
}

/// The limit of the bytes at each server of a pool.
#[derive(Clone, Debug)]
struct Limit {
    pool: Name,
    bytes: usize,
    since: Tick,
    /// The server that crashed.
    server: Name,
}

impl Limit {
    /// Returns the limit at a time, or none once it has ended.
    fn at(&self, now: Tick) -> Option<usize> {
        let doublings = (now - self.since).as_millis() / DOUBLING_TIME.as_millis();
        let doublings = u32::try_from(doublings).ok()?;
        (doublings < MAX_DOUBLINGS).then(|| self.bytes.saturating_mul(1 << doublings))
    }
}

impl Uploads {
    /// Counts a request that is sent to a server.
    pub fn begin(&mut self, server: &Name, bytes: usize) {
        match self.find(server) {
            Ok(at) => self.servers[at].1 += bytes,
            Err(_) if bytes == 0 => {}
            Err(at) => self.servers.insert(at, (server.clone(), bytes)),
        }
    }

    /// Counts the end of a request.
    pub fn end(&mut self, server: &Name, bytes: usize) {
        if let Ok(at) = self.find(server) {
            self.servers[at].1 = self.servers[at].1.saturating_sub(bytes);
            if self.servers[at].1 == 0 {
                self.servers.remove(at);
            }
        }
    }

    /// Records that a server crashed while it held bytes of requests, and returns the new limit if it counts.
    pub fn record_crash(
        &mut self,
        now: Tick,
        pool: &Name,
        server: &Name,
        bytes: usize,
    ) -> Option<usize> {
        if bytes < MIN_CRASH_BYTES {
            return None;
        }
        let limit = Limit {
            pool: pool.clone(),
            bytes,
            since: now,
            server: server.clone(),
        };
        match self.limits.binary_search_by(|limit| limit.pool.cmp(pool)) {
            Ok(at) => {
                let known = &self.limits[at];
                let is_same = known.server == *server && now - known.since < CRASH_SPAN;
                if is_same || known.at(now).is_some_and(|known| known <= bytes) {
                    return None;
                }
                self.limits[at] = limit;
            }
            Err(at) => self.limits.insert(at, limit),
        }
        Some(bytes)
    }

    /// Returns whether a request may be sent to a server: its bytes there stay under what a crashed one of its pool held.
    pub fn may_send(&self, now: Tick, pool: &Name, server: &Name, bytes: usize) -> bool {
        let found = self.limits.binary_search_by(|limit| limit.pool.cmp(pool));
        let limit = found.ok().and_then(|at| self.limits[at].at(now));
        bytes == 0 || limit.is_none_or(|limit| self.at_server(server).saturating_add(bytes) < limit)
    }

    /// Returns the bytes of requests at a server.
    pub fn at_server(&self, server: &Name) -> usize {
        self.find(server).map_or(0, |at| self.servers[at].1)
    }

    /// Returns the servers that hold bytes of requests, with their number.
    pub fn servers(&self) -> &[(Name, usize)] {
        &self.servers
    }

    fn find(&self, server: &Name) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|(known, _)| known.cmp(server))
    }
}
