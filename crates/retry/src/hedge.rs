//! Hedged requests: a second attempt of an idempotent call that takes unusually long.

use core::time::Duration;

use base::{Name, Tick};

use crate::{Budget, Histogram, configs};

/// The hedge of one call.
///
/// - A call that is not idempotent is never hedged.
/// - At most one second attempt starts, after a latency quantile, and only within the retry budget.
/// - When one attempt answers, the other is cancelled and its late answer is ignored.
#[derive(Clone, Debug)]
pub struct Hedge {
    /// When the second attempt is due; `None` if none starts any more.
    due: Option<Tick>,
    /// The numbers of the attempts in flight.
    running: Vec<u16>,
    answered: bool,
}

/// An event that a hedge handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An attempt gave a complete answer.
    Answered(u16),
    /// An attempt failed.
    Failed(u16),
    /// Time passed.
    Tick,
}

/// What a hedge asks its driver to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Cancel an attempt.
    Cancel(u16),
    /// Fail the call, since no attempt is running any more.
    Fail,
    /// Start a second attempt on another server.
    Start(u16),
    /// Use the answer of this attempt as the answer of the call.
    Accept(u16),
}

/// The retry budget that the second attempt is charged to.
#[derive(Debug)]
pub struct Context<'a> {
    /// The retry budget.
    pub budget: &'a mut Budget,
    /// The stage.
    pub stage: &'a Name,
    /// The client account.
    pub account: &'a Name,
}

impl Hedge {
    /// Creates the hedge of a call whose first attempt, with the given number, starts now; no second attempt
    /// starts if too few latencies are known.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use retry::{Hedge, Histogram, configs};
    /// let hedge = Hedge::new(Tick::default(), 0, false, &Histogram::default(), &configs::hedge::Hedge::default());
    /// assert_eq!(hedge.due(), None);
    /// ```
    pub fn new(
        now: Tick,
        attempt: u16,
        idempotent: bool,
        latencies: &Histogram,
        config: &configs::hedge::Hedge,
    ) -> Self {
        let delay = |time: Duration| now + time.max(config.min_delay);
        let due = latencies
            .quantile(config.quantile)
            .filter(|_| idempotent)
            .map(delay);
        Self {
            due,
            running: vec![attempt],
            answered: false,
        }
    }

    /// Returns when the second attempt is due.
    pub const fn due(&self) -> Option<Tick> {
        self.due
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Tick, event: Event, cx: &mut Context<'_>) -> Vec<Action> {
        match event {
            Event::Answered(attempt) => self.answered(attempt),
            Event::Failed(attempt) => self.failed(attempt),
            Event::Tick => self.tick(now, cx),
        }
    }

    fn answered(&mut self, attempt: u16) -> Vec<Action> {
        if self.answered || !self.running.contains(&attempt) {
            return Vec::new();
        }
        self.answered = true;
        self.due = None;
        let others = self.running.drain(..).filter(|other| *other != attempt);
        core::iter::once(Action::Accept(attempt))
            .chain(others.map(Action::Cancel))
            .collect()
    }

    fn failed(&mut self, attempt: u16) -> Vec<Action> {
        let before = self.running.len();
        self.running.retain(|other| *other != attempt);
        if self.running.len() == before || !self.running.is_empty() {
            return Vec::new();
        }
        self.due = None;
        vec![Action::Fail]
    }

    fn tick(&mut self, now: Tick, cx: &mut Context<'_>) -> Vec<Action> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = None;
        let Some(last) = self.running.last() else {
            return Vec::new();
        };
        let attempt = last + 1;
        if cx.budget.try_withdraw(now, cx.stage, cx.account).is_err() {
            return Vec::new();
        }
        self.running.push(attempt);
        vec![Action::Start(attempt)]
    }
}
