//! Calls to backend servers, and what a process brings to make them.

use core::{net::SocketAddr, time::Duration};
use std::rc::Rc;

use base::{Name, Tick};
use batch::{
    Piece, Shard,
    piece::{Handle, Outcome},
    scheduler::Load,
};
use bytes::Bytes;
use mesh::Peer;
use site::roster::Server;
use thiserror::Error;

/// How one request is passed to one server.
#[derive(Clone, Debug)]
pub struct Call {
    /// The server.
    pub server: Rc<Server>,
    /// The time that the server has.
    pub time_left: Duration,
    /// From 0 to 9, where 0 goes first.
    pub urgency: u8,
    /// The client account.
    pub account: Option<Name>,
    /// Handles of the results that it reads.
    pub inputs: Vec<Handle>,
    /// An engine from which it may fetch what it lacks of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The event after which a stream goes on.
    pub last_event: Option<u64>,
    /// Whether the connection must be one whose state is known.
    pub at_most_once: bool,
    /// The most connections to the server.
    pub max_connections: usize,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// The connection ended before the answer was whole.
    #[error("the connection ended before the answer was whole")]
    Broken,
    /// The server stated that it is full or leaving and did not run the request.
    #[error("the server is full")]
    Full,
    /// The server stated that a result that the request reads is gone, and did not run it.
    #[error("a result of an earlier stage is gone")]
    InputGone,
    /// The bytes are no answer, or the answer is another request's.
    #[error("the answer is not this request's")]
    Mismatched,
    /// Another incarnation has the address; the request did not run.
    #[error("another server has the address")]
    Moved,
    /// The server stated that the request is faulty, and did not run it.
    #[error("the server rejected the request")]
    Rejected,
    /// There was no answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// The server can't be reached; nothing was written.
    #[error("the server can't be reached")]
    Unreachable,
}

impl Failure {
    /// Tells whether the server may have run the request.
    ///
    /// # Examples
    ///
    /// ```
    /// use relay::Failure;
    /// assert!(Failure::Broken.may_have_run());
    /// assert!(!Failure::Full.may_have_run());
    /// ```
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::Broken | Self::Mismatched | Self::TimedOut => true,
            Self::Full | Self::InputGone | Self::Moved | Self::Rejected | Self::Unreachable => {
                false
            }
        }
    }
}

/// An answer whose head has arrived.
pub trait Reply {
    /// What is kept of the head while the body goes on.
    type Head: 'static;

    /// Returns the head.
    fn head(&self) -> Self::Head;

    /// Returns the status.
    fn status(&self) -> u16;

    /// Tells whether the server said that it leaves.
    fn is_leaving(&self) -> bool;

    /// Returns the next bytes of the body, none at its proper end.
    ///
    /// # Errors
    ///
    /// - [`Failure::Broken`] if the answer ends before it is whole.
    fn chunk(&mut self) -> impl Future<Output = Result<Option<Bytes>, Failure>>;
}

/// What came of a call to a server of stages.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// One entry a piece, in the order in which they were sent.
    pub outcomes: Vec<Outcome>,
    /// The server's load.
    pub load: Option<Load>,
}

/// What the process brings.
pub trait Transport: 'static {
    /// A request to pass on.
    type Request: 'static;
    /// An answer whose head has arrived.
    type Reply: Reply + 'static;

    /// Returns the present instant.
    fn now(&self) -> Tick;

    /// Passes a request to a server and returns the answer once its head is there.
    fn send(
        &self,
        request: &Self::Request,
        call: Call,
    ) -> impl Future<Output = Result<Self::Reply, Failure>>;

    /// Has a server work on pieces.
    fn run_pieces(
        &self,
        server: &Server,
        pieces: &[Piece],
        limit: Duration,
    ) -> impl Future<Output = Result<Results, Failure>>;

    /// Has another instance make pieces of one stage of a request.
    fn delegate(
        &self,
        feeder: &Peer,
        shard: &Shard,
        pieces: &[Piece],
    ) -> impl Future<Output = Result<Vec<Outcome>, Failure>>;

    /// Has another instance give up results at the servers that it feeds.
    fn delegate_release(
        &self,
        feeder: &Peer,
        handles: &[Handle],
    ) -> impl Future<Output = Result<(), Failure>>;

    /// Gives up results, each at the server that its handle names.
    fn release(&self, handles: Vec<Handle>) -> impl Future<Output = ()>;

    /// Tells other instances that a server crashed while it ran a content.
    fn report_crash(&self, digest: u64, server: &Name);
}
