//! Hedges: one more attempt of an idempotent call that takes unusually long.

use core::time::Duration;

use base::{Name, Tick};

use crate::{Budget, Histogram, configs};

/// The hedge of one call.
///
/// - A call that is not idempotent never gets one.
/// - The second attempt starts once, after a quantile of usual times, and only within the budget.
/// - When one attempt answers, the other is cancelled; its late answer belongs to no request any more.
#[derive(Clone, Debug)]
pub struct Hedge {
    due: Option<Tick>,
    running: Vec<u16>,
    answered: bool,
}

/// What a hedge is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An attempt has answered, whole.
    Answered(u16),
    /// An attempt has failed.
    Failed(u16),
    /// Time has passed.
    Tick,
}

/// What a hedge asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Cancel an attempt.
    Cancel(u16),
    /// Nothing is running any more; the call has failed.
    Fail,
    /// Start a second attempt at another server.
    Start(u16),
    /// This attempt's answer is the call's answer.
    Accept(u16),
}

/// Who pays for the second attempt.
#[derive(Debug)]
pub struct Context<'a> {
    /// The budget.
    pub budget: &'a mut Budget,
    /// The stage.
    pub stage: &'a Name,
    /// The client account.
    pub account: &'a Name,
}

impl Hedge {
    /// Opens the hedge of a call whose first attempt, of a given number, starts now.
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
