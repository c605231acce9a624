//! Outages of a whole pool, which then gets single probes only.

use base::Tick;

use crate::configs::outage::Config;

/// The outage state of one pool.
#[derive(Clone, Debug, Default)]
pub struct Outage {
    /// Number of failures since the last complete answer.
    failures: u32,
    /// When the next probe may be sent, if the pool is down.
    next_probe: Option<Tick>,
}

impl Outage {
    /// Returns whether the pool is down.
    pub const fn is_down(&self) -> bool {
        self.next_probe.is_some()
    }

    /// Returns when the pool may get its next attempt, or `None` if it may get one now.
    pub fn blocked_until(&self, now: Tick) -> Option<Tick> {
        self.next_probe.filter(|next| now < *next)
    }

    /// Records the start of an attempt, which is the probe if the pool is down.
    pub fn record_start(&mut self, config: &Config, now: Tick) {
        if let Some(next) = &mut self.next_probe {
            *next = now + config.probe_interval;
        }
    }

    /// Records a failure, with the share of the pool's servers that are failing.
    pub fn record_failure(&mut self, config: &Config, now: Tick, failing_share: f64) {
        self.failures = self.failures.saturating_add(1);
        let down = self.failures >= config.min_failures && failing_share >= config.failing_share;
        if down && self.next_probe.is_none() {
            self.next_probe = Some(now + config.probe_interval);
        }
    }

    /// Records a complete answer and returns whether it ended an outage.
    pub fn record_success(&mut self) -> bool {
        self.failures = 0;
        self.next_probe.take().is_some()
    }
}
