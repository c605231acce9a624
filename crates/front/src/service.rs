//! The port behind which requests are served.

use core::future::Future;

use base::{Digest, Key, Stamp, request::Id};
use flow::Answer;
use tokio::sync::mpsc;

use crate::{Frame, Submission};

/// How an answer is given.
pub enum Reply {
    /// The whole answer, or a refusal.
    Complete(Answer),
    /// An event stream; dropping the receiver cancels the request.
    Stream(mpsc::Receiver<Frame>),
}

/// Serves requests.
pub trait Service: 'static {
    /// Returns the largest body taken, in bytes.
    fn body_limit(&self) -> usize;

    /// Tells whether connections are to be closed after their present request, since the
    /// instance is stopping.
    fn is_closing(&self) -> bool;

    /// Returns a new request id.
    fn new_id(&self) -> Id;

    /// Returns the wall-clock time.
    fn now(&self) -> Stamp;

    /// Serves one request.
    fn serve(&self, id: Id, submission: Submission) -> impl Future<Output = Reply>;

    /// Tells what is known of an earlier request of the account with a credential.
    fn status(&self, credential: Digest, key: Key) -> impl Future<Output = Answer>;
}
