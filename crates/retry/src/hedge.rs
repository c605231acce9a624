//! Hedges: one more attempt of an idempotent call that takes unusually long.

use core::time::Duration;

use base::{Name, Tick};

use crate::{Budget, Usual, configs};

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
    Take(u16),
}

/// Who pays for the second attempt.
#[derive(Debug)]
pub struct Payer<'a> {
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
    /// use retry::{Hedge, Usual, configs};
    /// let hedge = Hedge::open(Tick::default(), 0, false, &Usual::default(), &configs::hedge::Hedge::default());
    /// assert_eq!(hedge.due(), None);
    /// ```
    pub fn open(
        now: Tick,
        number: u16,
        idempotent: bool,
        usual: &Usual,
        config: &configs::hedge::Hedge,
    ) -> Self {
        let delay = |time: Duration| now + time.max(config.least);
        let due = usual
            .quantile(config.quantile)
            .filter(|_| idempotent)
            .map(delay);
        Self {
            due,
            running: vec![number],
            answered: false,
        }
    }

    /// Returns when the second attempt is due.
    pub const fn due(&self) -> Option<Tick> {
        self.due
    }

    /// Handles an event.
    pub fn on(&mut self, now: Tick, event: Event, payer: &mut Payer<'_>) -> Vec<Action> {
        match event {
            Event::Answered(number) => self.answered(number),
            Event::Failed(number) => self.failed(number),
            Event::Tick => self.tick(now, payer),
        }
    }

    fn answered(&mut self, number: u16) -> Vec<Action> {
        if self.answered || !self.running.contains(&number) {
            return Vec::new();
        }
        self.answered = true;
        self.due = None;
        let others = self.running.drain(..).filter(|other| *other != number);
        core::iter::once(Action::Take(number))
            .chain(others.map(Action::Cancel))
            .collect()
    }

    fn failed(&mut self, number: u16) -> Vec<Action> {
        let before = self.running.len();
        self.running.retain(|other| *other != number);
        if self.running.len() == before || !self.running.is_empty() {
            return Vec::new();
        }
        self.due = None;
        vec![Action::Fail]
    }

    fn tick(&mut self, now: Tick, payer: &mut Payer<'_>) -> Vec<Action> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = None;
        let Some(last) = self.running.last() else {
            return Vec::new();
        };
        let number = last + 1;
        if payer.budget.again(now, payer.stage, payer.account).is_err() {
            return Vec::new();
        }
        self.running.push(number);
        vec![Action::Start(number)]
    }
}
