//! The work of client accounts.

use base::{Name, Tick};
use core::time::Duration;

use crate::Config;

/// The accounts' shares of the work, which decay.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    config: Config,
    /// The work in seconds by account, sorted, as of `decayed_at`.
    work: Vec<(Name, f64)>,
    total: f64,
    /// The average work of a request, in seconds.
    request: f64,
    decayed_at: Tick,
    /// The accounts with recent work, as counted last.
    active: usize,
}

impl Accounts {
    /// Creates a record without work.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Records the work of a request that starts.
    pub fn record(&mut self, now: Tick, account: &Name, work: Duration) {
        self.decay(now);
        let work = work.as_secs_f64();
        self.request = match self.request {
            0.0 => work,
            request => request + 0.05 * (work - request),
        };
        self.total += work;
        match self.find(account) {
            Ok(at) => self.work[at].1 += work,
            Err(at) if self.work.len() < self.config.max_accounts => {
                self.work.insert(at, (account.clone(), work));
                self.active += 1;
            }
            // An account beyond the bound counts with those that aren't tracked.
            Err(_) => {}
        }
    }

    /// Returns an account's work as a multiple of its fair share. The work of two requests isn't counted, as few requests
    /// say little.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// let mut accounts = room::Accounts::default();
    /// for at in 0..400 {
    ///     // Every second request is one of the account `a`, the others are those of nine accounts.
    ///     let account = match at % 2 { 0 => "a".into(), _ => format!("b{}", at / 2 % 9).into() };
    ///     accounts.record(Tick::from_millis(20 * at), &account, Duration::from_millis(30));
    /// }
    /// assert!(accounts.shares(&"a".into()) > 4.0);
    /// assert!(accounts.shares(&"b1".into()) < 1.0);
    /// ```
    pub fn shares(&self, account: &Name) -> f64 {
        let Ok(at) = self.find(account) else {
            return 0.0;
        };
        let fair = self.total / self.active.max(1) as f64;
        (self.work[at].1 - 2.0 * self.request).max(0.0) / fair.max(1e-6)
    }

    /// Returns whether an account has more than its share, so that its requests yield under pressure.
    pub fn is_heavy(&self, account: &Name) -> bool {
        self.shares(account) > self.config.max_shares
    }

    /// Returns the factor for the value of an account's work: 1 up to its share, and less above it.
    pub fn priority(&self, account: &Name) -> f64 {
        (self.config.max_shares / self.shares(account).max(1e-6)).min(1.0)
    }

    /// Returns the number of tracked accounts.
    pub const fn len(&self) -> usize {
        self.work.len()
    }

    /// Returns whether no account is tracked.
    pub const fn is_empty(&self) -> bool {
        self.work.is_empty()
    }

    /// Decays all work, in steps of a twentieth of the half-life.
    fn decay(&mut self, now: Tick) {
        let elapsed = now - self.decayed_at;
        if elapsed < self.config.account_half_life / 20 {
            return;
        }
        self.decayed_at = now;
        let factor = (-elapsed.div_duration_f64(self.config.account_half_life)).exp2();
        let small = self.request / 16.0;
        self.work.retain_mut(|(_, work)| {
            *work *= factor;
            *work > small
        });
        self.total = self.work.iter().map(|(_, work)| work).sum();
        let recent = self.request / 4.0;
        let active = self.work.iter().filter(|(_, work)| *work > recent);
        self.active = active.count();
    }

    fn find(&self, account: &Name) -> Result<usize, usize> {
        self.work.binary_search_by(|(known, _)| known.cmp(account))
    }
}
