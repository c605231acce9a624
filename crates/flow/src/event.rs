//! What a request is told and what it asks for.

use core::time::Duration;

use base::{Code, Incarnation, attempt::Attempt};
use serde_json::Value;

use crate::{Answer, Failure};

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The request was admitted.
    Admitted,
    /// The ledger gave the call to this request.
    ClaimWon,
    /// The ledger holds the outcome of an earlier run of the same call.
    ClaimDone {
        /// The output of that run.
        output: Value,
    },
    /// The ledger did not give the call to this request.
    ClaimRefused {
        /// Why; its outcome is what is known of the call.
        code: Code,
        /// What is known, in one line.
        detail: String,
    },
    /// The deadline passed.
    DeadlinePassed,
    /// A streamed answer went on in another way than it began.
    Diverged,
    /// A call failed.
    Failed {
        /// The attempt.
        attempt: Attempt,
        /// Why.
        failure: Failure,
        /// What the attempt cost.
        cost: f64,
    },
    /// The call was not made, since its content crashed backend servers before.
    Harmful,
    /// No backend server can take the stage.
    NoServer {
        /// When one may be there.
        retry_after: Duration,
    },
    /// A backend server was picked.
    Picked {
        /// The server.
        server: Incarnation,
    },
    /// Tokens of a streamed answer went out to the caller.
    Progressed {
        /// The number of tokens that have gone out.
        count: u64,
    },
    /// A backend server gave the whole output of its stage.
    Replied {
        /// The attempt that the answer names.
        attempt: Attempt,
        /// The output.
        output: Value,
        /// What the attempt cost.
        cost: f64,
    },
    /// The ledger holds the output of the call that may not be repeated, from an earlier attempt
    /// under the same key; the stages before it are not needed.
    Recalled {
        /// The output.
        output: Value,
    },
    /// The retry budget has room for one more attempt.
    RetryGranted,
    /// The retry budget is spent.
    RetryDenied,
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the retry budget of the present stage for one more attempt.
    RequestRetry,
    /// Call a backend server.
    Call {
        /// Names the attempt.
        attempt: Attempt,
        /// The server.
        server: Incarnation,
        /// The input of the stage.
        input: Value,
        /// The first token wanted, where the stage streams.
        first_token: u64,
        /// Whether the call may be repeated; if not, it takes a connection of its own.
        idempotent: bool,
    },
    /// Claim the call of the present stage in the ledger.
    Claim,
    /// Give the answer to the caller; nothing follows.
    Finish(Answer),
    /// Nothing; the event was out of date.
    Nothing,
    /// Pick a backend server for the present stage.
    Pick {
        /// Servers that failed this stage already.
        exclude: Vec<Incarnation>,
    },
    /// Release the claim, since the call will never be made, then give the answer.
    Release(Answer),
    /// Record the output of the claimed call, then report the event again.
    RecordOutput {
        /// The output.
        output: Value,
    },
}
