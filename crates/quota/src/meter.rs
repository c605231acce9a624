//! Grants turns at servers that limit their request rate.

use core::time::Duration;

use base::{Name, Tick};

use crate::configs::Config;

/// What a call needs of a server that limits its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The number of requests that are sent one right after the other, which get their turns together or not at all.
    pub requests: u32,
    /// How long the call can wait for them.
    pub max_wait: Duration,
    /// The longest time for which it takes a slot, or zero if it takes none.
    pub duration: Duration,
}

impl Demand {
    /// Returns the demand of one request.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use quota::Demand;
    /// let question = Demand::one(Duration::ZERO, Duration::ZERO);
    /// assert_eq!(question.requests, 1);
    /// ```
    pub const fn one(max_wait: Duration, duration: Duration) -> Self {
        Self {
            requests: 1,
            max_wait,
            duration,
        }
    }
}

/// The answer to an instance that wants to send requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The requests may be sent.
    Granted {
        /// The number of requests. Instances of earlier builds grant one at a time.
        requests: u32,
        /// The time to wait before they are sent.
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

/// The turns at a server that were granted ahead and are not used up yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// The meter that granted them.
    pub granter: u64,
    /// The requests a second at which they were granted.
    pub rate: f64,
    /// The time until they are used up.
    pub time: Duration,
}

/// The turns that one instance grants for all instances, by server.
///
/// Turns that were granted ahead are used also after another instance has taken over. So instances tell each other of those
/// that they know, and a granter begins after them. A server that is new to the meter begins without turns that were kept
/// for a burst.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    config: Config,
    /// Distinguishes this meter from those of other processes.
    id: u64,
    /// Sorted by server.
    accounts: Vec<Account>,
    /// What other granters gave out, as they stated to this instance, sorted by server.
    stated: Vec<Stated>,
    granted: u64,
    denied: u64,
}

#[derive(Clone, Debug)]
struct Account {
    server: Name,
    /// The requests a second of the turn that was granted last.
    rate: f64,
    /// When the turns that were granted, by this meter or others, are used up at that rate.
    used_until: Tick,
    /// The same as of the last turn that this meter granted.
    granted_until: Option<Tick>,
    updated_at: Tick,
}

#[derive(Clone, Debug)]
struct Stated {
    server: Name,
    granter: u64,
    rate: f64,
    used_until: Tick,
}

impl Meter {
    /// Creates a meter that has granted nothing. `id` distinguishes it from those of other processes.
    pub const fn new(config: Config, id: u64) -> Self {
        Self {
            config,
            id,
            accounts: Vec::new(),
            stated: Vec::new(),
            granted: 0,
            denied: 0,
        }
    }

    /// Grants the next turns at a server that takes `rate` requests a second, if they come in time. Several are used together:
    /// once the last one lies within the burst time, or, if the interval between two turns is longer than that, once the first
    /// one is due, so that a pair is ahead of the rate by less than one request.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// use quota::{Demand, Meter, Turn};
    /// let (mut meter, now, server) = (Meter::default(), Tick::from_millis(5), "i-1".into());
    /// let second = Duration::from_secs(1);
    /// let now_or_never = Demand::one(Duration::ZERO, second);
    /// let first = meter.take(now, &server, 1.0, now_or_never);
    /// assert_eq!(first, Turn::Granted { requests: 1, wait: Duration::ZERO, next_in: second });
    /// let denied = meter.take(now, &server, 1.0, now_or_never);
    /// assert_eq!(denied, Turn::Denied { retry_in: second });
    /// let waits = meter.take(now, &server, 1.0, Demand::one(second, second));
    /// assert_eq!(waits, Turn::Granted { requests: 1, wait: second, next_in: 2 * second });
    /// ```
    pub fn take(&mut self, now: Tick, server: &Name, rate: f64, demand: Demand) -> Turn {
        let Config {
            min_rate, burst, ..
        } = self.config;
        let rate = rate.max(min_rate);
        let account = self.account(now, server, rate);
        account.change_rate(now, rate);
        if account.granted_until.is_none() {
            account.used_until = account.used_until.max(now + burst);
        }
        let interval = Duration::from_secs_f64(1.0 / rate);
        let requests = demand.requests.max(1);
        let others = interval * (requests - 1);
        let ready_at = account.used_until + others;
        let wait = ready_at - (now + burst.max(others));
        if wait > demand.max_wait {
            self.denied += 1;
            return Turn::Denied { retry_in: wait };
        }
        account.used_until = account.used_until.max(now) + interval * requests;
        account.granted_until = Some(account.used_until);
        account.updated_at = now;
        let next_in = account.used_until - (now + burst);
        self.granted += u64::from(requests);
        Turn::Granted {
            requests,
            wait,
            next_in,
        }
    }

    /// Returns the balance at a server as far as this instance knows it at first hand: of the turns that it granted, or that
    /// another granter stated to it, whichever last longer.
    pub fn known_balance(&self, now: Tick, server: &Name) -> Option<Balance> {
        let own = self.find_account(server).ok().and_then(|at| {
            let account = &self.accounts[at];
            Some((account.granted_until?, account.rate, self.id))
        });
        let stated = self.find_stated(server).ok().map(|at| {
            let stated = &self.stated[at];
            (stated.used_until, stated.rate, stated.granter)
        });
        let known = own.into_iter().chain(stated);
        let (used_until, rate, granter) = known.max_by_key(|(used_until, ..)| *used_until)?;
        (used_until > now).then(|| Balance {
            granter,
            rate,
            time: used_until - now,
        })
    }

    /// Returns the balance after which this meter grants the next turn, for the instance that asked it.
    pub fn balance(&self, now: Tick, server: &Name) -> Option<Balance> {
        let account = &self.accounts[self.find_account(server).ok()?];
        (account.used_until > now).then(|| Balance {
            granter: self.id,
            rate: account.rate,
            time: account.used_until - now,
        })
    }

    /// Records the balance that a granter stated in answer to a question.
    pub fn record_balance(&mut self, now: Tick, server: &Name, balance: Balance) {
        let stated = Stated {
            server: server.clone(),
            granter: balance.granter,
            rate: balance.rate,
            used_until: now + balance.time.min(self.config.idle_timeout),
        };
        match self.find_stated(server) {
            Ok(at) => self.stated[at] = stated,
            Err(at) => self.stated.insert(at, stated),
        }
    }

    /// Makes this meter grant its turns after those that another instance knows of. Its own balance told back changes nothing:
    /// the time of a message under way would make it longer each time.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// use quota::{Balance, Demand, Meter, Turn};
    /// let (mut successor, now) = (Meter::default(), Tick::from_millis(5));
    /// let balance = Balance { granter: 7, rate: 1.0, time: Duration::from_secs(3) };
    /// successor.continue_after(now, &"i-1".into(), balance);
    /// let demand = Demand::one(Duration::from_secs(1), Duration::ZERO);
    /// let denied = successor.take(now, &"i-1".into(), 1.0, demand);
    /// assert!(matches!(denied, Turn::Denied { .. }));
    /// ```
    pub fn continue_after(&mut self, now: Tick, server: &Name, balance: Balance) {
        if balance.granter == self.id {
            return;
        }
        let rate = balance.rate.max(self.config.min_rate);
        // The last turn may be in use already.
        let last = Duration::from_secs_f64(1.0 / rate);
        let time = balance.time.min(self.config.idle_timeout);
        let time = time.saturating_sub(last);
        let account = self.account(now, server, rate);
        let time = time.mul_f64((rate / account.rate).min(1.0));
        account.used_until = account.used_until.max(now + time);
        account.updated_at = now;
    }

    /// Returns the number of turns that were granted and denied since the start.
    pub const fn counts(&self) -> (u64, u64) {
        (self.granted, self.denied)
    }

    /// Forgets servers at which no turn was granted for long.
    pub fn sweep(&mut self, now: Tick) {
        let idle = self.config.idle_timeout;
        self.stated.retain(|stated| stated.used_until > now);
        self.accounts
            .retain(|account| now - account.updated_at < idle);
    }

    fn account(&mut self, now: Tick, server: &Name, rate: f64) -> &mut Account {
        let at = match self.find_account(server) {
            Ok(at) => at,
            Err(at) => {
                let account = Account {
                    server: server.clone(),
                    rate,
                    used_until: now + self.config.burst,
                    granted_until: None,
                    updated_at: now,
                };
                self.accounts.insert(at, account);
                at
            }
        };
        &mut self.accounts[at]
    }

    fn find_account(&self, server: &Name) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|account| account.server.cmp(server))
    }

    fn find_stated(&self, server: &Name) -> Result<usize, usize> {
        self.stated
            .binary_search_by(|stated| stated.server.cmp(server))
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
        let used_until = self.used_until;
        self.granted_until = self.granted_until.map(|until| until.min(used_until));
        self.rate = rate;
    }
}
