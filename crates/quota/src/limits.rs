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
    /// When the request was sent that the answer belongs to.
    pub sent_at: Tick,
    /// When the answer arrived.
    pub received_at: Tick,
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
                // Servers without a limit are not kept unless they had one.
                if statement.rate.is_none() {
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
        let is_after = statement.sent_at >= known.received_at;
        let is_lower = match (statement.rate, known.rate) {
            (Some(rate), Some(known)) => rate <= known,
            (Some(_), None) => true,
            (None, Some(_)) => false,
            (None, None) => true,
        };
        if !is_after && !is_lower {
            return false;
        }
        let is_changed = known.rate != statement.rate;
        let received_at = known.received_at.max(statement.received_at);
        let sent_at = known.sent_at.max(statement.sent_at);
        *known = Statement {
            sent_at,
            received_at,
            ..statement
        };
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
            .retain(|known| known.rate.is_some() || now - known.received_at < memory);
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
