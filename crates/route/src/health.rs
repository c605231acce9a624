//! Health of a server: failures, ejection of slow servers, and recovery.

use core::time::Duration;

use base::Tick;

use crate::{configs::health::Config, event::Failure};

/// The health of one server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Healthy.
    #[default]
    Good,
    /// Failing; it gets one probe at a time from `until` on.
    Failing {
        /// Number of consecutive failures.
        failures: u32,
        /// When the next probe may be sent.
        until: Tick,
    },
    /// Ejected because it is slow.
    Ejected {
        /// When the ejection ends.
        until: Tick,
    },
    /// Recovering, with a limit on attempts in flight that doubles with each success.
    Recovering {
        /// Number of attempts finished since the recovery began.
        finished: u32,
    },
}

/// How many attempts a server may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// Any number of attempts.
    Unlimited,
    /// Up to this number of attempts in flight.
    Limited(usize),
    /// No attempt before this time.
    Blocked(Tick),
}

impl Health {
    /// Returns how many attempts the server may get now.
    pub fn allowance(&self, now: Tick) -> Allowance {
        match *self {
            Self::Good => Allowance::Unlimited,
            Self::Failing { until, .. } | Self::Ejected { until } if now < until => {
                Allowance::Blocked(until)
            }
            Self::Failing { .. } | Self::Ejected { .. } => Allowance::Limited(1),
            Self::Recovering { finished } => {
                Allowance::Limited(1 << finished.min(RECOVERY_DOUBLINGS))
            }
        }
    }

    /// Returns whether the server is failing.
    pub const fn is_failing(&self) -> bool {
        matches!(self, Self::Failing { .. })
    }

    /// Moves a failing server to the recovering state.
    pub fn recover(&mut self) {
        if self.is_failing() {
            *self = Self::Recovering { finished: 1 };
        }
    }

    /// Returns whether the server is ejected because it is slow.
    pub const fn is_ejected(&self) -> bool {
        matches!(self, Self::Ejected { .. })
    }

    /// Records a successful attempt.
    pub fn record_success(&mut self) {
        *self = match *self {
            Self::Good => Self::Good,
            Self::Failing { .. } | Self::Ejected { .. } => Self::Recovering { finished: 1 },
            Self::Recovering { finished } if finished >= RECOVERY_DOUBLINGS => Self::Good,
            Self::Recovering { finished } => Self::Recovering {
                finished: finished + 1,
            },
        };
    }

    /// Records a failed attempt.
    ///
    /// - A cancelled attempt says nothing about the server.
    /// - A server that refused the attempt, made no progress, died or cannot be reached gets no attempts
    ///   for a time that doubles with each failure.
    pub fn record_failure(&mut self, config: &Config, now: Tick, kind: Failure) {
        if kind == Failure::Cancelled {
            return;
        }
        let failures = match *self {
            Self::Failing { failures, until } if now < until => failures,
            Self::Failing { failures, .. } => failures.saturating_add(1),
            Self::Good | Self::Ejected { .. } | Self::Recovering { .. } => 1,
        };
        *self = Self::Failing {
            failures,
            until: now + backoff(config, failures),
        };
    }

    /// Ejects the server because it is slow, for longer each time; `ejections` includes this ejection.
    pub fn eject(&mut self, config: &Config, now: Tick, ejections: u32) {
        let ejection = config.ejection * ejections.max(1);
        *self = Self::Ejected {
            until: now + ejection.min(config.ejection_max),
        };
    }
}

/// Number of doublings of the attempt limit before a recovering server is healthy.
const RECOVERY_DOUBLINGS: u32 = 5;

fn backoff(config: &Config, failures: u32) -> Duration {
    let factor = 1_u32 << failures.saturating_sub(1).min(16);
    (config.backoff * factor).min(config.backoff_max)
}
