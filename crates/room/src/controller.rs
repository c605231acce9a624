//! The decision whether a request starts, waits or is refused.

use core::time::Duration;

use base::{Name, Tick};
use batch::Shard;
use site::route::Rank;

use crate::{Accounts, Config, Deadlines, Forecast};

/// What is known of the load, and the decisions that follow.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    config: Config,
    /// The backlogs of shards.
    pub forecast: Forecast,
    /// The work of accounts.
    pub accounts: Accounts,
    /// The deadlines that callers state.
    pub deadlines: Deadlines,
    tally: Vec<(Group, u64)>,
}

/// Decisions that are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// The first part of the requests' rank.
    pub rank: u8,
    /// Whether their accounts had more than their share.
    pub is_heavy: bool,
    /// What was decided.
    pub outcome: Outcome,
}

/// What was decided on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It started.
    Started,
    /// It was delayed, and is counted again with what follows.
    Delayed,
    /// It was refused.
    Refused(Reason),
}

/// A stage of a request, in the failure domain where it would run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage<'a> {
    /// The shard that runs the stage.
    pub shard: Shard,
    /// The stages whose results it reads.
    pub depends_on: &'a [usize],
    /// The time of a full call.
    pub call_time: Duration,
    /// Whether the request leaves the stage out.
    pub is_omitted: bool,
}

/// The expected course of a request, from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// When the first event arrives if the request is on time.
    pub on_time: Duration,
    /// When it arrives if nothing is queued.
    pub idle: Duration,
    /// When it arrives if the request is late, so that others go first.
    pub late: Duration,
    /// The longest wait of a stage for what is queued there now and goes first.
    pub clear_in: Duration,
    /// The longest call of a stage.
    pub call_time: Duration,
    /// Whether a stage has a queue.
    pub is_pressed: bool,
    /// The largest part of the memory for results that is in use in a stage whose results others read, in thousandths.
    pub memory_permille: u16,
    /// The age of the oldest report that was used.
    pub age: Duration,
}

/// A request before its first stage.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The rank; the lowest goes first.
    pub rank: Rank,
    /// The client account.
    pub account: Option<&'a Name>,
    /// The time within which the caller wants the first event, from its first attempt.
    pub objective: Duration,
    /// The time since the caller's first attempt.
    pub waited: Duration,
    /// Whether an earlier attempt of the caller was refused.
    pub has_returned: bool,
    /// The time until the deadline.
    pub time_left: Duration,
    /// The time for which it was delayed already.
    pub delayed: Duration,
    /// A random number from 0 to 1, the same for all decisions on the request.
    pub draw: f64,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The first stage starts.
    Start,
    /// The request is decided on again after this time, and holds nothing until then.
    Delay(Duration),
    /// The request is refused.
    Refuse {
        /// Why.
        reason: Reason,
        /// When the caller may return.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// It can't be answered before its deadline.
    Deadline,
    /// It would be late, and take memory from requests that can be on time.
    Late,
    /// Its account has more than its share.
    Account,
}

impl Controller {
    /// Creates a controller that knows nothing of the load.
    pub fn new(config: Config) -> Self {
        Self {
            forecast: Forecast::new(config.clone()),
            accounts: Accounts::new(config.clone()),
            deadlines: Deadlines::new(config.clone()),
            tally: Vec::new(),
            config,
        }
    }

    /// Estimates the course of a request through its stages and its engine.
    pub fn estimate(
        &self,
        now: Tick,
        stages: &[Stage<'_>],
        rank: Rank,
        engine_time: Duration,
    ) -> Estimate {
        let mut estimate = Estimate::default();
        let mut ends = vec![None; stages.len()];
        let mut idle = vec![Duration::ZERO; stages.len()];
        for at in 0..stages.len() {
            let (on_time, late) = self.end_of(now, stages, at, rank, &mut ends, &mut estimate);
            let before = stages[at].depends_on.iter().filter(|before| **before < at);
            let before = before.map(|before| idle[*before]).max();
            let call_time = match stages[at].is_omitted {
                true => Duration::ZERO,
                false => stages[at].call_time,
            };
            idle[at] = before.unwrap_or_default() + call_time;
            estimate.idle = estimate.idle.max(idle[at]);
            estimate.on_time = estimate.on_time.max(on_time);
            estimate.late = estimate.late.max(late);
        }
        estimate.idle += engine_time;
        estimate.on_time += engine_time;
        estimate.late += engine_time;
        estimate
    }

    /// Returns when a stage ends, on time and late.
    fn end_of(
        &self,
        now: Tick,
        stages: &[Stage<'_>],
        at: usize,
        rank: Rank,
        ends: &mut Vec<Option<(Duration, Duration)>>,
        estimate: &mut Estimate,
    ) -> (Duration, Duration) {
        let stage = &stages[at];
        if let Some(end) = ends[at] {
            return end;
        }
        let (mut on_time, mut late) = (Duration::ZERO, Duration::ZERO);
        for before in stage.depends_on.iter().filter(|before| **before < at) {
            let end = self.end_of(now, stages, *before, rank, ends, estimate);
            on_time = on_time.max(end.0);
            late = late.max(end.1);
        }
        if !stage.is_omitted {
            let call_time = stage.call_time;
            let wait = self.forecast.wait(now, &stage.shard, rank);
            if let Some(wait) = wait {
                on_time += wait.on_time;
                late += wait.late;
                estimate.is_pressed |= wait.is_queued;
                estimate.age = estimate.age.max(wait.age);
                estimate.clear_in = estimate.clear_in.max(wait.on_time);
                let is_read = stages.iter().any(|stage| stage.depends_on.contains(&at));
                if is_read && estimate.memory_permille < wait.memory_permille {
                    estimate.memory_permille = wait.memory_permille;
                }
            }
            estimate.call_time = estimate.call_time.max(call_time);
            on_time += call_time;
            late += call_time;
        }
        ends[at] = Some((on_time, late));
        (on_time, late)
    }

    /// Decides on a request by its estimate.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use room::{Controller, controller::{Decision, Estimate, Request}};
    /// let ms = Duration::from_millis;
    /// let request = Request {
    ///     rank: Default::default(),
    ///     account: None,
    ///     objective: ms(1_300),
    ///     waited: ms(0),
    ///     has_returned: false,
    ///     time_left: ms(5_000),
    ///     delayed: ms(0),
    ///     draw: 0.5,
    /// };
    /// // Without a report of a queue every request starts.
    /// assert_eq!(Controller::default().decide(&request, &Estimate::default()), Decision::Start);
    /// ```
    pub fn decide(&self, request: &Request<'_>, estimate: &Estimate) -> Decision {
        if !estimate.is_pressed {
            return Decision::Start;
        }
        if estimate.late.min(estimate.on_time) > request.time_left {
            return self.refuse(request, estimate, Reason::Deadline);
        }
        let tolerance = estimate.call_time.mul_f64(self.config.tolerance_calls);
        let objective_left = request.objective.saturating_sub(request.waited);
        let is_on_time = |expected| expected <= objective_left + tolerance;
        let yields = request.draw >= self.config.spared_share
            && request
                .account
                .is_some_and(|account| self.accounts.is_heavy(account));
        if yields {
            // Others of the rank go first, on time or late.
            if is_on_time(estimate.late) {
                return Decision::Start;
            }
        } else {
            if is_on_time(estimate.on_time) {
                return Decision::Start;
            }
            if estimate.late > request.time_left {
                return self.refuse(request, estimate, Reason::Deadline);
            }
            // The plans of the shards let late work run when no other can be on time.
            if estimate.memory_permille <= self.config.max_memory_permille {
                return Decision::Start;
            }
        }
        let total = request.delayed + request.time_left;
        let left = total
            .mul_f64(self.config.max_delay_share)
            .saturating_sub(request.delayed);
        let (min, max) = self.config.delay_steps;
        // Spread, so that requests that wait for the same shard don't start together.
        let delay = estimate
            .clear_in
            .clamp(min, max)
            .mul_f64(0.75 + 0.5 * request.draw);
        if delay <= left && estimate.late + delay <= request.time_left {
            return Decision::Delay(delay);
        }
        match yields {
            true => self.refuse(request, estimate, Reason::Account),
            false => self.refuse(request, estimate, Reason::Late),
        }
    }

    /// Counts a decision.
    pub fn record_decision(&mut self, request: &Request<'_>, decision: Decision) {
        let group = Group {
            // Ranks beyond those of the platform count together, which bounds the counts.
            rank: request.rank.account.min(9),
            is_heavy: request
                .account
                .is_some_and(|account| self.accounts.is_heavy(account)),
            outcome: match decision {
                Decision::Start => Outcome::Started,
                Decision::Delay(_) => Outcome::Delayed,
                Decision::Refuse { reason, .. } => Outcome::Refused(reason),
            },
        };
        match self.tally.binary_search_by_key(&group, |(group, _)| *group) {
            Ok(at) => self.tally[at].1 += 1,
            Err(at) => self.tally.insert(at, (group, 1)),
        }
    }

    /// Returns the numbers of decisions.
    pub fn tally(&self) -> &[(Group, u64)] {
        &self.tally
    }

    /// Refuses a request until its stages' backlog has drained, but for no longer than callers wait.
    fn refuse(&self, request: &Request<'_>, estimate: &Estimate, reason: Reason) -> Decision {
        let longest = request.time_left.mul_f64(self.config.max_delay_share);
        let excess = estimate.late.saturating_sub(request.time_left);
        let drained_in = estimate.clear_in.max(excess).max(estimate.call_time);
        let retry_after = drained_in.mul_f64(1.0 + 0.5 * request.draw).min(longest);
        Decision::Refuse {
            reason,
            retry_after,
        }
    }
}
