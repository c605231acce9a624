//! The rates that instances may grant at a cold server by their rank.

use super::Config;

/// The number of instances that may grant lower shares at a time: the second and third in rank, and one more while lists of
/// instances differ or after a restart.
const LOWER_RANKS: f64 = 3.0;

/// Keeps rates below the point at which one more turn falls into a span.
const ROUNDING: f64 = 0.98;

/// How many requests a cold server of a pool takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The requests a second that it sustains.
    pub rate: f64,
    /// The factor by which the requests of a second may exceed the rate, and the number that may come on top of that.
    pub bound: Bound,
}

/// By how much the requests of a second may exceed the rate of a cold server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The factor.
    pub over: f64,
    /// The number of requests on top.
    pub slack: f64,
}

/// The most requests a second that an instance grants, by its rank among the instances that may grant turns at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// The rate of the first in rank.
    pub first: f64,
    /// The rate of each of the others that grant any.
    pub other: f64,
}

impl Terms {
    /// Returns the rates that instances may grant by rank.
    ///
    /// A turn is used up to `max_delay` late, so the turns of `max_delay + 1 s` may fall into one second. Of an instance whose
    /// turns are `1 / rate` apart these are `floor(span * rate) + 1`. The first in rank gets the whole rate; what the bound
    /// leaves is shared by [`LOWER_RANKS`] others.
    ///
    /// # Examples
    ///
    /// ```
    /// use quota::cold::{Bound, Config, Terms};
    /// let terms = Terms { rate: 8.1, bound: Bound { over: 1.5, slack: 5.0 } };
    /// let shares = terms.shares(&Config::default());
    /// assert_eq!(shares.first, 8.1);
    /// assert!(shares.other > 1.4 && shares.other < 1.6);
    /// ```
    pub fn shares(&self, config: &Config) -> Shares {
        let span = (config.window + config.max_delay + config.max_transit).as_secs_f64();
        let allowed = (self.rate * self.bound.over + self.bound.slack).floor();
        let first_span = span + config.burst.as_secs_f64();
        // A little less than the largest rate that keeps a bound of `count` turns.
        let largest = |count: f64, span: f64| (count / span * ROUNDING).max(0.0);
        let first = self.rate.min(largest(allowed, first_span));
        let used = (first * first_span).floor() + 1.0;
        let each = ((allowed - used) / LOWER_RANKS).floor().max(0.0);
        Shares {
            first,
            other: largest(each, span).min(first / 2.0),
        }
    }
}
