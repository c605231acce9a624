//! Identifiers of attempts to run one stage of one request.

use core::fmt;

use serde::{Deserialize, Serialize};

use crate::request;

/// Identifies one attempt. Every hop passes it on, and an answer that carries another identifier is dropped.
///
/// # Examples
///
/// ```
/// use base::{attempt::Attempt, request::Id};
/// let attempt = Attempt::new(Id::from_random(7), 2, 0);
/// assert_eq!(Attempt::parse(&attempt.to_string()), Some(attempt));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The request.
    pub request: request::Id,
    /// The index of the stage within its pipeline, from 0.
    pub stage: u16,
    /// The number of the attempt at this stage, from 0.
    pub number: u16,
}

impl Attempt {
    /// Returns the identifier of an attempt.
    pub const fn new(request: request::Id, stage: u16, number: u16) -> Self {
        Self {
            request,
            stage,
            number,
        }
    }

    /// Parses an attempt of the form `request/stage/number`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('/');
        let request = request::Id::parse(parts.next()?)?;
        let stage = parts.next()?.parse().ok()?;
        let number = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(Self {
            request,
            stage,
            number,
        })
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.request, self.stage, self.number)
    }
}
