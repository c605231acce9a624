//! Whether a pool fails outright; then it gets single probes and nothing else.

use base::Tick;

use crate::configs::outage::Config;

/// The outage of one pool, if there is one.
#[derive(Clone, Debug, Default)]
pub struct Outage {
    /// Failures since the last whole answer.
    failures: u32,
    /// When the next probe may go, if the pool is down.
    next: Option<Tick>,
}

impl Outage {
    /// Tells whether the pool is down.
    pub const fn is_down(&self) -> bool {
        self.next.is_some()
    }

    /// Returns when the pool may get its next attempt, if not at once.
    pub fn until(&self, now: Tick) -> Option<Tick> {
        self.next.filter(|next| now < *next)
    }

    /// Notes an attempt; if the pool is down, it was the probe.
    pub fn started(&mut self, config: &Config, now: Tick) {
        if let Some(next) = &mut self.next {
            *next = now + config.probe;
        }
    }

    /// Notes a failure, and the share of the pool's servers that are failing.
    pub fn failed(&mut self, config: &Config, now: Tick, failing: f64) {
        self.failures = self.failures.saturating_add(1);
        let down = self.failures >= config.failures && failing >= config.failing;
        if down && self.next.is_none() {
            self.next = Some(now + config.probe);
        }
    }

    /// Notes a whole answer; returns whether it ended an outage.
    pub fn finished(&mut self) -> bool {
        self.failures = 0;
        self.next.take().is_some()
    }
}
