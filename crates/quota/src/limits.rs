//! What servers state about the request rate that they take.

use base::{Name, Tick};

use crate::configs::Config;

/// The statement of a server in one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The server.
    pub server: Name,
    /// The start time of its run in Unix milliseconds, or 0 if unknown.
    pub started_at_ms: u64,
    /// The requests a second that it takes, or none if it takes any number.
    pub rate: Option<f64>,
    /// The requests that it turns away in a second at most before it falls over, or none if it bears any number.
    pub brittle: Option<f64>,
    /// When the request was sent that the answer belongs to.
    pub sent_at: Tick,
    /// When the answer arrived.
    pub received_at: Tick,
}

impl Statement {
    /// Returns whether requests to the server need a turn.
    pub const fn is_limited(&self) -> bool {
        self.rate.is_some() || self.brittle.is_some()
    }

    /// Returns whether another statement has the same limits.
    fn agrees(&self, other: &Self) -> bool {
        (self.rate, self.brittle) == (other.rate, other.brittle)
    }

    /// Returns what holds if another statement may be older or newer.
    fn merge(&self, other: &Self) -> Self {
        let merged = Self {
            rate: lower(self.rate, other.rate),
            brittle: lower(self.brittle, other.brittle),
            ..self.clone()
        };
        if !merged.agrees(other) {
            // An answer that lifts a limit must not move the time of the limit, or it would never end while answers overlap.
            return merged;
        }
        Self {
            sent_at: self.sent_at.max(other.sent_at),
            received_at: self.received_at.max(other.received_at),
            ..merged
        }
    }
}

/// Returns the lower one of two limits.
fn lower(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (limit, None) | (None, limit) => limit,
    }
}

/// The newest statements of servers that limit their request rate or did so a short time ago, sorted by server.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    config: Config,
    statements: Vec<Statement>,
}

impl Limits {
    /// Creates a view without statements.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            statements: Vec::new(),
        }
    }

    /// Records a statement, and returns whether the known rate changed.
    ///
    /// A server made its statement at some time between the request and the answer. So a statement replaces another one of
    /// the same run if its request was sent after the other's answer had arrived. Of two that overlap the lower rate holds.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use quota::{Limits, Statement};
    /// let statement = |rate, sent_ms, received_ms| Statement {
    ///     server: "i-1".into(),
    ///     started_at_ms: 7,
    ///     rate,
    ///     brittle: None,
    ///     sent_at: Tick::from_millis(sent_ms),
    ///     received_at: Tick::from_millis(received_ms),
    /// };
    /// let mut limits = Limits::default();
    /// assert!(limits.record(statement(Some(2.0), 10, 20)));
    /// // An answer without a limit that overtook, or was overtaken, doesn't end it.
    /// assert!(!limits.record(statement(None, 15, 30)));
    /// assert_eq!(limits.rate(&"i-1".into(), 7), Some(2.0));
    /// assert!(limits.record(statement(None, 21, 40)));
    /// assert_eq!(limits.rate(&"i-1".into(), 7), None);
    /// ```
    pub fn record(&mut self, statement: Statement) -> bool {
        let at = match self.find(&statement.server) {
            Ok(at) => at,
            Err(at) => {
                // Servers without limits are not kept unless they had one.
                if !statement.is_limited() {
                    return false;
                }
                self.insert(at, statement);
                return true;
            }
        };
        let known = &mut self.statements[at];
        if statement.started_at_ms != known.started_at_ms {
            let is_newer = statement.started_at_ms > known.started_at_ms;
            if is_newer {
                *known = statement;
            }
            return is_newer;
        }
        if statement.received_at <= known.sent_at {
            return false;
        }
        if statement.sent_at >= known.received_at {
            let is_changed = !statement.agrees(known);
            *known = statement;
            return is_changed;
        }
        let merged = known.merge(&statement);
        let is_changed = !merged.agrees(known);
        *known = merged;
        is_changed
    }

    /// Returns the rate that a run of a server takes, if it stated a limit.
    pub fn rate(&self, server: &Name, started_at_ms: u64) -> Option<f64> {
        let known = self.get(server)?;
        let rate = known
            .rate
            .filter(|_| known.started_at_ms >= started_at_ms)?;
        Some(rate.max(self.config.min_rate))
    }

    /// Returns the requests that a run of a server turns away in a second at most before it falls over, if it said so.
    pub fn brittle(&self, server: &Name, started_at_ms: u64) -> Option<f64> {
        let known = self.get(server)?;
        known
            .brittle
            .filter(|_| known.started_at_ms >= started_at_ms)
    }

    /// Returns the newest statement of a server that has a limit, or had one a short time ago.
    pub fn get(&self, server: &Name) -> Option<&Statement> {
        self.find(server).ok().map(|at| &self.statements[at])
    }

    /// Returns the statements that other instances are told, the newest ones if there are many.
    pub fn recent(&self, now: Tick) -> Vec<&Statement> {
        let recent = self.statements.iter();
        let recent = recent.filter(|known| now - known.received_at < self.config.share_time);
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|known| core::cmp::Reverse(known.received_at));
        recent.truncate(self.config.max_shared);
        recent
    }

    /// Forgets the ends of limits that no older statement can follow.
    pub fn sweep(&mut self, now: Tick) {
        let memory = self.config.memory;
        self.statements
            .retain(|known| known.is_limited() || now - known.received_at < memory);
    }

    fn insert(&mut self, at: usize, statement: Statement) {
        self.statements.insert(at, statement);
        if self.statements.len() > self.config.max_servers {
            let oldest =
                (0..self.statements.len()).min_by_key(|at| self.statements[*at].received_at);
            if let Some(oldest) = oldest {
                self.statements.remove(oldest);
            }
        }
    }

    fn find(&self, server: &Name) -> Result<usize, usize> {
        self.statements
            .binary_search_by(|known| known.server.cmp(server))
    }
}
