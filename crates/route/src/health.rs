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
    Returning {
        /// Attempts finished since the return.
        finished: u32,
    },
}

/// What a server may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Any number of attempts.
    Free,
    /// Up to so many attempts in flight.
    Limited(usize),
    /// Nothing before an instant.
    None(Tick),
}

impl Health {
    /// Tells what the server may be given now.
    pub fn allows(&self, now: Tick) -> Use {
        match *self {
            Self::Good => Use::Free,
            Self::Failing { until, .. } | Self::Ejected { until } if now < until => {
                Use::None(until)
            }
            Self::Failing { .. } | Self::Ejected { .. } => Use::Limited(1),
            Self::Returning { finished } => Use::Limited(1 << finished.min(RETURN_DOUBLINGS)),
        }
    }

    /// Tells whether the server is failing.
    pub const fn is_failing(&self) -> bool {
        matches!(self, Self::Failing { .. })
    }

    /// Lets a failing server return.
    pub fn recover(&mut self) {
        if self.is_failing() {
            *self = Self::Returning { finished: 1 };
        }
    }

    /// Tells whether the server is ejected for slowness.
    pub const fn is_ejected(&self) -> bool {
        matches!(self, Self::Ejected { .. })
    }

    /// Takes a success.
    pub fn finished(&mut self) {
        *self = match *self {
            Self::Good => Self::Good,
            Self::Failing { .. } | Self::Ejected { .. } => Self::Returning { finished: 1 },
            Self::Returning { finished } if finished >= RETURN_DOUBLINGS => Self::Good,
            Self::Returning { finished } => Self::Returning {
                finished: finished + 1,
            },
        };
    }

    /// Takes a failure.
    ///
    /// - A needless attempt says nothing of the server.
    /// - A server that turned the attempt away, died or cannot be reached is left alone for a
    ///   time that doubles with each failure.
    pub fn failed(&mut self, config: &Config, now: Tick, kind: Failure) {
        if kind == Failure::Cancelled {
            return;
        }
        let failures = match *self {
            Self::Failing { failures, until } if now < until => failures,
            Self::Failing { failures, .. } => failures.saturating_add(1),
            Self::Good | Self::Ejected { .. } | Self::Returning { .. } => 1,
        };
        *self = Self::Failing {
            failures,
            until: now + backoff(config, failures),
        };
    }

    /// Ejects the server for slowness, longer each time.
    pub fn eject(&mut self, config: &Config, now: Tick, times: u32) {
        let span = config.ejection * times.max(1);
        *self = Self::Ejected {
            until: now + span.min(config.ejection_max),
        };
    }
}

/// Doublings of the attempts allowed before a returned server is in full use.
const RETURN_DOUBLINGS: u32 = 5;

fn backoff(config: &Config, failures: u32) -> Duration {
    let factor = 1_u32 << failures.saturating_sub(1).min(16);
    (config.backoff * factor).min(config.backoff_max)
}
