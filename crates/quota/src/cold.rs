//! Knows which servers are cold, and grants turns at them within what a cold server bears.

mod terms;

use core::time::Duration;

use base::{Name, Tick};

pub use self::terms::{Bound, Shares, Terms};
/// The settings of [`Cold`].
pub use crate::configs::Cold as Config;
use crate::{Demand, Turn, configs};

/// What is known of a cold server, as instances tell it each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The server.
    pub server: Name,
    /// The start time of its run in Unix milliseconds, or 0 if unknown.
    pub started_at_ms: u64,
    /// How much longer it is cold, as far as that is known.
    pub left: Duration,
    /// The number of entries that the server had written by the one that this rests on.
    pub sequence: u64,
    /// The time since an event that may have made it cold, which entries from before don't revoke.
    pub event_age: Option<Duration>,
}

/// An entry of a server, as far as it concerns whether the server is cold.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// The server.
    pub server: &'a Name,
    /// The start time of its run in Unix milliseconds.
    pub started_at_ms: u64,
    /// The number of entries that the server has written.
    pub sequence: u64,
    /// How much longer the server was cold when it wrote the entry.
    pub left: Duration,
    /// How much longer it is cold by its start time alone.
    pub start_left: Duration,
}

/// Whether what is known of a server changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed.
    None,
    /// The server counts as cold from now on.
    Cold,
    /// The server was reported warm, and its rate ramps up.
    Warm,
}

/// The cold servers, and the turns that this instance grants at them for all instances. Servers are sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Cold {
    config: configs::Cold,
    bound: Option<Bound>,
    /// When the list of instances was first known, from which the age of the process counts.
    started_at: Option<Tick>,
    servers: Vec<Known>,
    granted: u64,
    denied: u64,
}

#[derive(Clone, Debug)]
struct Known {
    server: Name,
    started_at_ms: u64,
    /// The number of entries that the server had written by the last one that was read, if one was.
    sequence: Option<u64>,
    /// Until when it is cold by its start time, and by entries and answers.
    start_until: Tick,
    until: Tick,
    /// When an event may have made it cold that no later entry has denied.
    event_at: Option<Tick>,
    /// Whether the event was seen by this instance and concerns the server alone, so that others are told.
    is_shared: bool,
    /// The time of the last turn that was granted, and of the last line on a denied one.
    last_turn: Option<Tick>,
    logged_at: Option<Tick>,
    /// When it last answered this instance.
    answered_at: Tick,
    /// The denied turns of the last second, decayed to `denied_at`.
    denied: f64,
    denied_at: Tick,
    is_cold: bool,
    seen_at: Tick,
}

impl Cold {
    /// Sets by how much the requests of a second may exceed the rate; without a bound no server counts as cold.
    pub const fn set_bound(&mut self, bound: Option<Bound>) {
        self.bound = bound;
    }

    /// Returns the bound.
    pub const fn bound(&self) -> Option<Bound> {
        self.bound
    }

    /// Records that the list of instances is known. Before, this instance grants nothing.
    pub const fn start(&mut self, now: Tick) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
        }
    }

    /// Records an entry of a server of a pool whose cold servers bear less.
    ///
    /// An entry revokes an event if it was written after it, which is certain once the event is older than the longest time
    /// that an entry takes.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// use quota::{Cold, cold::{Change, Entry}};
    /// let (mut cold, server) = (Cold::default(), "i-1".into());
    /// let entry = |sequence, left_ms| Entry {
    ///     server: &server,
    ///     started_at_ms: 7,
    ///     sequence,
    ///     left: Duration::from_millis(left_ms),
    ///     start_left: Duration::ZERO,
    /// };
    /// let at = Tick::from_millis;
    /// assert_eq!(cold.record_entry(at(5_000), entry(1, 0)), Change::None);
    /// assert_eq!(cold.record_event(at(6_000), &server, 7, true), Change::Cold);
    /// // This one may have been written before the event.
    /// assert_eq!(cold.record_entry(at(6_200), entry(2, 0)), Change::None);
    /// assert_eq!(cold.record_entry(at(8_600), entry(4, 0)), Change::Warm);
    /// ```
    pub fn record_entry(&mut self, now: Tick, entry: Entry<'_>) -> Change {
        let config = self.config.clone();
        let known = self.known(now, entry.server, entry.started_at_ms);
        if entry.started_at_ms < known.started_at_ms {
            return Change::None;
        }
        let is_first = known.sequence.is_none();
        if known.sequence >= Some(entry.sequence) {
            return Change::None;
        }
        if is_first && !entry.start_left.is_zero() {
            known.start_until = now + entry.start_left;
        }
        known.sequence = Some(entry.sequence);
        let is_denied = known
            .event_at
            .is_some_and(|at| !is_first && now - at >= config.max_entry_age);
        if is_denied {
            known.event_at = None;
            known.until = known.until.max(now);
        }
        // A later entry knows better than an earlier one.
        known.until = match entry.left.saturating_sub(config.min_entry_age) {
            Duration::ZERO => known.until.min(now),
            left => now + left,
        };
        known.update(now, &config)
    }

    /// Records an event after which a server may be cold, until an entry that was written later says otherwise. `is_shared`
    /// states whether other instances are told.
    pub fn record_event(
        &mut self,
        now: Tick,
        server: &Name,
        started_at_ms: u64,
        is_shared: bool,
    ) -> Change {
        let config = self.config.clone();
        let known = self.known(now, server, started_at_ms);
        known.event_at = Some(now);
        known.is_shared = is_shared;
        known.update(now, &config)
    }

    /// Records what a server stated in an answer to a request that was sent at a time.
    pub fn record_answer(
        &mut self,
        (sent_at, now): (Tick, Tick),
        server: &Name,
        started_at_ms: u64,
        left: Duration,
    ) -> Change {
        let config = self.config.clone();
        let known = self.known(now, server, started_at_ms);
        if started_at_ms < known.started_at_ms || known.event_at.is_some_and(|at| sent_at < at) {
            return Change::None;
        }
        if left.is_zero() && !known.is_cold {
            return Change::None;
        }
        known.event_at = None;
        known.start_until = known.start_until.min(now);
        known.until = now + left;
        known.update(now, &config)
    }

    /// Records that a server answered this instance.
    pub fn record_contact(&mut self, now: Tick, server: &Name) {
        if let Ok(at) = self.find(server) {
            self.servers[at].answered_at = now;
        }
    }

    /// Records what another instance reported.
    pub fn record_report(&mut self, now: Tick, report: &Report) -> Change {
        let config = self.config.clone();
        let known = self.known(now, &report.server, report.started_at_ms);
        if report.started_at_ms < known.started_at_ms {
            return Change::None;
        }
        if let Some(age) = report.event_age {
            let at = Tick::default() + (now - (Tick::default() + age));
            // An event that later entries have denied here is not taken up again.
            let may_hold = age < config.max_entry_age
                || age < config.max_event_time && known.sequence <= Some(report.sequence);
            // The other instance may have lost its link to a server that answers here.
            let was_away = known.answered_at + config.min_away <= at;
            if may_hold && was_away && known.event_at.is_none_or(|before| before < at) {
                known.event_at = Some(at);
                known.is_shared = false;
            }
        } else if Some(report.sequence) >= known.sequence {
            known.until = known.until.max(now + report.left);
        }
        known.update(now, &config)
    }

    /// Returns whether calls to a run of a server need a turn: it is cold, or its rate ramps up.
    pub fn is_limited(&self, now: Tick, server: &Name, started_at_ms: u64) -> bool {
        self.get(server, started_at_ms)
            .is_some_and(|known| known.is_limited(now, &self.config))
    }

    /// Returns what other instances are told of a server with a question for a turn.
    pub fn report(&self, now: Tick, server: &Name, started_at_ms: u64) -> Option<Report> {
        let known = self.get(server, started_at_ms)?;
        Some(known.report(now, &self.config))
    }

    /// Returns what other instances are told with heartbeats: events of a short time ago that this instance saw.
    pub fn recent(&self, now: Tick) -> Vec<Report> {
        let is_recent = |at: Tick| now - at < self.config.max_entry_age;
        let recent = self.servers.iter();
        let recent =
            recent.filter(|known| known.is_shared && known.event_at.is_some_and(is_recent));
        let reports = recent.map(|known| known.report(now, &self.config));
        reports.take(self.config.max_shared).collect()
    }

    /// Grants turns at a server to one of all instances, if they come in time; several are used once the last one comes.
    /// `rank` is the number of instances that come before this one; those beyond the third grant nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// use quota::{Cold, Demand, Turn, cold::{Bound, Terms}};
    /// let (mut cold, server) = (Cold::default(), "i-1".into());
    /// let terms = Terms { rate: 8.0, bound: Bound { over: 1.5, slack: 5.0 } };
    /// cold.start(Tick::default());
    /// let now = Tick::from_millis(9_000);
    /// cold.record_event(now, &server, 7, true);
    /// let demand = Demand::one(Duration::ZERO, Duration::ZERO);
    /// let mut take = |rank| cold.take(now, &server, 7, terms, rank, demand);
    /// assert!(matches!(take(0), Turn::Granted { .. }));
    /// assert!(matches!(take(0), Turn::Denied { .. }));
    /// assert!(matches!(take(3), Turn::Denied { .. }));
    /// ```
    pub fn take(
        &mut self,
        now: Tick,
        server: &Name,
        started_at_ms: u64,
        terms: Terms,
        rank: usize,
        demand: Demand,
    ) -> Turn {
        let config = self.config.clone();
        let requests = demand.requests.max(1);
        if !self.is_limited(now, server, started_at_ms) {
            return Turn::Granted {
                requests,
                wait: Duration::ZERO,
                next_in: Duration::ZERO,
            };
        }
        let started_at = self.started_at;
        let Some(rate) = self.granted_rate(now, terms, rank) else {
            self.denied += 1;
            return Turn::Denied {
                retry_in: config.unknown_retry,
            };
        };
        let is_first = rate.to_bits() == terms.shares(&config).first.to_bits();
        let known = self.known(now, server, started_at_ms);
        let end = known.end(&config);
        let growth = (now - end).div_duration_f64(config.doubling);
        let rate = rate * growth.exp2();
        // Nothing is granted ahead of a rate that changes, as the server may be cold again.
        let max_wait = match now < end {
            true => demand.max_wait.min(config.max_wait),
            false => demand.max_wait.min(config.max_ramp_wait),
        };
        let interval = Duration::from_secs_f64(1.0 / rate);
        let (base, burst) = match (known.last_turn, is_first) {
            (Some(last), true) => (last, config.burst),
            (Some(last), false) => (last, Duration::ZERO),
            // A process that was just started may have granted turns before.
            (None, _) => (started_at.unwrap_or(now), Duration::ZERO),
        };
        let due = (base + interval).max(now) + interval * (requests - 1);
        let wait = due - (now + burst);
        if wait > max_wait {
            let retry_in = known.record_denial(now, wait, rate, &config);
            self.denied += 1;
            return Turn::Denied { retry_in };
        }
        known.last_turn = Some(due);
        self.granted += u64::from(requests);
        Turn::Granted {
            requests,
            wait,
            next_in: due + interval - (now + burst),
        }
    }

    /// Returns whether a denied turn at a server is logged, which is done once in a while.
    pub fn may_log_denial(&mut self, now: Tick, server: &Name, started_at_ms: u64) -> bool {
        let interval = self.config.log_interval;
        let known = self.known(now, server, started_at_ms);
        let may_log = known.logged_at.is_none_or(|at| now - at >= interval);
        if may_log {
            known.logged_at = Some(now);
        }
        may_log
    }

    /// Returns the number of servers that are cold or ramp up, and of turns granted and denied since the start.
    pub fn counts(&self, now: Tick) -> (usize, u64, u64) {
        let limited = self.servers.iter();
        let limited = limited.filter(|known| known.is_limited(now, &self.config));
        (limited.count(), self.granted, self.denied)
    }

    /// Forgets servers that were not heard of for long.
    pub fn sweep(&mut self, now: Tick) {
        let idle = self.config.idle_timeout;
        self.servers.retain(|known| now - known.seen_at < idle);
    }

    /// Returns the rate that this instance may grant, if it may grant any.
    fn granted_rate(&self, now: Tick, terms: Terms, rank: usize) -> Option<f64> {
        let age = now - self.started_at?;
        let shares = terms.shares(&self.config);
        let rate = match rank {
            0 if age >= self.config.settling => shares.first,
            0..=2 => shares.other,
            _ => 0.0,
        };
        (rate > 0.0).then_some(rate)
    }

    fn get(&self, server: &Name, started_at_ms: u64) -> Option<&Known> {
        let known = &self.servers[self.find(server).ok()?];
        (known.started_at_ms >= started_at_ms).then_some(known)
    }

    fn find(&self, server: &Name) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|known| known.server.cmp(server))
    }

    /// Returns what is known of a server; a later run begins without what was known of the one before.
    fn known(&mut self, now: Tick, server: &Name, started_at_ms: u64) -> &mut Known {
        let at = match self.find(server) {
            Ok(at) => at,
            Err(at) => {
                self.servers
                    .insert(at, Known::new(server.clone(), started_at_ms, now));
                at
            }
        };
        let known = &mut self.servers[at];
        if known.started_at_ms < started_at_ms {
            let last_turn = known.last_turn;
            *known = Known::new(server.clone(), started_at_ms, now);
            known.last_turn = last_turn;
        }
        known.seen_at = now;
        known
    }
}

impl Known {
    const fn new(server: Name, started_at_ms: u64, now: Tick) -> Self {
        Self {
            server,
            started_at_ms,
            sequence: None,
            start_until: Tick::from_micros(0),
            until: Tick::from_micros(0),
            event_at: None,
            is_shared: false,
            last_turn: None,
            logged_at: None,
            answered_at: Tick::from_micros(0),
            denied: 0.0,
            denied_at: now,
            is_cold: false,
            seen_at: now,
        }
    }

    /// Returns when the server is no longer cold, or the earliest time there is if it never was.
    fn end(&self, config: &Config) -> Tick {
        let event_end = self.event_at.map(|at| at + config.max_event_time);
        let known = self.start_until.max(self.until);
        event_end.map_or(known, |end| end.max(known))
    }

    /// Returns whether the server is cold, or was until a moment ago.
    fn is_limited(&self, now: Tick, config: &Config) -> bool {
        let end = self.end(config);
        end != Tick::default() && now < end + config.ramp
    }

    fn update(&mut self, now: Tick, config: &Config) -> Change {
        let is_cold = now < self.end(config);
        match (core::mem::replace(&mut self.is_cold, is_cold), is_cold) {
            (false, true) => Change::Cold,
            (true, false) => Change::Warm,
            _ => Change::None,
        }
    }

    fn report(&self, now: Tick, config: &Config) -> Report {
        Report {
            server: self.server.clone(),
            started_at_ms: self.started_at_ms,
            left: self.end(config) - now,
            sequence: self.sequence.unwrap_or(0),
            event_age: self.event_at.map(|at| now - at),
        }
    }

    /// Returns when a denied instance may ask again: later the more ask, so that the questions of all grow with the root of
    /// their number.
    fn record_denial(&mut self, now: Tick, wait: Duration, rate: f64, config: &Config) -> Duration {
        let age = (now - self.denied_at).div_duration_f64(config.window);
        self.denied = self.denied * (-age).exp() + 1.0;
        self.denied_at = now;
        let crowd = self.denied / (rate * config.questions_per_turn);
        let crowd = Duration::from_secs_f64(crowd).min(config.max_retry);
        wait.max(crowd)
    }
}
