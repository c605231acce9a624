//! The interface to the service that runs requests.

use core::future::Future;

use base::{Digest, Key, Stamp, request::Id};
use flow::Answer;
use tokio::sync::mpsc;

use crate::{Frame, Submission};

/// The answer to a request.
pub enum Reply {
    /// A complete answer or a refusal.
    Complete(Answer),
    /// An event stream; dropping the receiver cancels the request.
    Stream(mpsc::Receiver<Frame>),
}

/// A service that runs callers' requests.
pub trait Service: 'static {
    /// Returns the maximum size of a request body, in bytes.
    fn body_limit(&self) -> usize;

    /// Returns whether connections are to be closed after their current request, as the instance is shutting down.
    fn is_closing(&self) -> bool;

    /// Returns a new request id.
    fn new_id(&self) -> Id;

    /// Returns the wall-clock time.
    fn now(&self) -> Stamp;

    /// Runs one request.
    fn serve(&self, id: Id, submission: Submission) -> impl Future<Output = Reply>;

    /// Returns the status of an earlier request with a key, for the account with a credential.
    fn status(&self, credential: Digest, key: Key) -> impl Future<Output = Answer>;
}
