//! Whether a server may be used: failures, ejection for slowness, and return.

use core::time::Duration;

use base::Tick;

use crate::{configs::health::Config, event::Failure};

/// The health of one server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// In use.
    #[default]
    Good,
    /// Failing; one probe at a time from `until` on.
    Failing {
        /// Failures in a row.
        failures: u32,
        /// When the next probe may go.
        until: Tick,
    },
    /// Ejected for slowness.
    Ejected {
        /// When it returns.
        until: Tick,
    },
    /// Returned, with few attempts in flight at first.
    Recovering {
        /// Attempts finished since the return.
        finished: u32,
    },
}

/// What a server may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// Any number of attempts.
    Unlimited,
    /// Up to so many attempts in flight.
    Limited(usize),
    /// Nothing before an instant.
    Blocked(Tick),
}

impl Health {
    /// Tells what the server may be given now.
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

    /// Tells whether the server is failing.
    pub const fn is_failing(&self) -> bool {
        matches!(self, Self::Failing { .. })
    }

    /// Lets a failing server return.
    pub fn recover(&mut self) {
        if self.is_failing() {
            *self = Self::Recovering { finished: 1 };
        }
    }

    /// Tells whether the server is ejected for slowness.
    pub const fn is_ejected(&self) -> bool {
        matches!(self, Self::Ejected { .. })
    }

    /// Takes a success.
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

    /// Takes a failure.
    ///
    /// - A needless attempt says nothing of the server.
    /// - A server that turned the attempt away, died or cannot be reached is left alone for a
    ///   time that doubles with each failure.
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

    /// Ejects the server for slowness, longer each time.
    pub fn eject(&mut self, config: &Config, now: Tick, times: u32) {
        let ejection = config.ejection * times.max(1);
        *self = Self::Ejected {
            until: now + ejection.min(config.ejection_max),
        };
    }
}

/// Doublings of the attempts allowed before a returned server is in full use.
const RECOVERY_DOUBLINGS: u32 = 5;

fn backoff(config: &Config, failures: u32) -> Duration {
    let factor = 1_u32 << failures.saturating_sub(1).min(16);
    (config.backoff * factor).min(config.backoff_max)
}
