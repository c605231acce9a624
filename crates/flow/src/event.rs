//! Events and actions of a request.

use core::time::Duration;

use base::{Code, Incarnation, attempt::Attempt};
use serde_json::Value;

use crate::{Answer, Failure};

/// An event that a request handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The request was admitted.
    Admitted,
    /// The request won the claim on the call.
    ClaimWon,
    /// The ledger holds the output of an earlier run of the same call.
    ClaimDone {
        /// The output of that run.
        output: Value,
    },
    /// The request did not win the claim on the call.
    ClaimRefused {
        /// The reason; its outcome is what is known about the call.
        code: Code,
        /// A one-line description of what is known.
        detail: String,
    },
    /// The deadline passed.
    DeadlinePassed,
    /// The continuation of a streamed answer does not match its beginning.
    Diverged,
    /// The call was not made, because the deadline passed before it could be sent.
    Expired,
    /// An attempt failed.
    Failed {
        /// The attempt.
        attempt: Attempt,
        /// The failure.
        failure: Failure,
        /// The cost of the attempt.
        cost: f64,
    },
    /// The call was not made, because its content crashed backend servers before.
    Harmful,
    /// No backend server is available for the stage.
    NoServer {
        /// Time until one may be available.
        retry_after: Duration,
    },
    /// A backend server was selected.
    Picked {
        /// The server.
        server: Incarnation,
    },
    /// Tokens of a streamed answer were sent to the caller.
    Progressed {
        /// The number of tokens sent so far.
        count: u64,
    },
    /// A backend server returned the complete output of its stage.
    Replied {
        /// The attempt that the answer refers to.
        attempt: Attempt,
        /// The output.
        output: Value,
        /// The cost of the attempt.
        cost: f64,
    },
    /// The ledger holds the output of the non-idempotent call from an earlier request under the same
    /// key, so that the stages before it are not needed.
    Recalled {
        /// The output.
        output: Value,
    },
    /// The retry budget allows another attempt.
    RetryGranted,
    /// The retry budget is exhausted.
    RetryDenied,
}

/// What the driver must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the retry budget of the current stage for another attempt.
    RequestRetry,
    /// Call a backend server.
    Call {
        /// Identifies the attempt.
        attempt: Attempt,
        /// The server.
        server: Incarnation,
        /// The input of the stage.
        input: Value,
        /// The first token to return, if the stage streams.
        first_token: u64,
        /// Whether the call is idempotent; a non-idempotent call gets a connection of its own.
        idempotent: bool,
    },
    /// Claim the call of the current stage in the ledger.
    Claim,
    /// Return the answer to the caller; no further action follows.
    Finish(Answer),
    /// Nothing, as the event was outdated.
    Nothing,
    /// Select a backend server for the current stage.
    Pick {
        /// Servers that already failed this stage.
        exclude: Vec<Incarnation>,
    },
    /// Release the claim, as the call will never be made, then return the answer.
    Release(Answer),
    /// Record the output of the claimed call, then call [`crate::Request::resume`].
    RecordOutput {
        /// The output.
        output: Value,
    },
}
