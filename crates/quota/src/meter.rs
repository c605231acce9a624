//! Grants turns at servers that limit their request rate.

use core::time::Duration;

use base::{Name, Tick};

use crate::configs::Config;

/// The answer to an instance that wants to send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The request may be sent.
    Granted {
        /// The time to wait before it is sent.
        wait: Duration,
        /// The time until the next turn, for any instance.
        next_in: Duration,
    },
    /// No turn is left within the time that the request can wait.
    Denied {
        /// The time until the next turn that may be left.
        retry_in: Duration,
    },
}

/// The turns that one instance grants for all instances, by server.
///
/// A server that is new to the meter may have been metered by another instance a moment ago, so it begins without turns
/// that were kept for a burst.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    config: Config,
    accounts: Vec<Account>,
}

#[derive(Clone, Debug)]
struct Account {
    server: Name,
    /// The requests a second of the turn that was granted last.
    rate: f64,
    /// When the turns that were granted are used up at that rate.
    used_until: Tick,
    updated_at: Tick,
}

impl Meter {
    /// Creates a meter that has granted nothing.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            accounts: Vec::new(),
        }
    }

    /// Grants the next turn at a server that takes `rate` requests a second, if it comes within `max_wait`.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// use quota::{Meter, Turn};
    /// let (mut meter, now) = (Meter::default(), Tick::from_millis(5));
    /// let second = Duration::from_secs(1);
    /// let first = meter.take(now, &"i-1".into(), 1.0, Duration::ZERO);
    /// assert_eq!(first, Turn::Granted { wait: Duration::ZERO, next_in: second });
    /// let denied = meter.take(now, &"i-1".into(), 1.0, Duration::ZERO);
    /// assert_eq!(denied, Turn::Denied { retry_in: second });
    /// let waits = meter.take(now, &"i-1".into(), 1.0, second);
    /// assert_eq!(waits, Turn::Granted { wait: second, next_in: 2 * second });
    /// ```
    pub fn take(&mut self, now: Tick, server: &Name, rate: f64, max_wait: Duration) -> Turn {
        let Config {
            min_rate, burst, ..
        } = self.config;
        let rate = rate.max(min_rate);
        let account = self.account(now, server, rate);
        account.change_rate(now, rate);
        let wait = account.used_until - (now + burst);
        if wait > max_wait {
            return Turn::Denied { retry_in: wait };
        }
        account.used_until = account.used_until.max(now) + Duration::from_secs_f64(1.0 / rate);
        account.updated_at = now;
        Turn::Granted {
            wait,
            next_in: account.used_until - (now + burst),
        }
    }

    /// Forgets servers at which no turn was granted for long.
    pub fn sweep(&mut self, now: Tick) {
        let idle = self.config.idle_timeout;
        self.accounts
            .retain(|account| now - account.updated_at < idle);
    }

    fn account(&mut self, now: Tick, server: &Name, rate: f64) -> &mut Account {
        let find = |account: &Account| account.server.cmp(server);
        let at = match self.accounts.binary_search_by(find) {
            Ok(at) => at,
            Err(at) => {
                let account = Account {
                    server: server.clone(),
                    rate,
                    used_until: now + self.config.burst,
                    updated_at: now,
                };
                self.accounts.insert(at, account);
                at
            }
        };
        &mut self.accounts[at]
    }
}

impl Account {
    /// Scales the turns that were granted ahead to a new rate.
    fn change_rate(&mut self, now: Tick, rate: f64) {
        if self.rate.to_bits() == rate.to_bits() {
            return;
        }
        let ahead = (self.used_until - now).mul_f64((self.rate / rate).min(1.0));
        self.used_until = self.used_until.min(now + ahead);
        self.rate = rate;
    }
}
