//! Server for the calls of other instances.

use std::{io, net::SocketAddr};

use actix_web::rt;
use base::Name;
use batch::piece::Handle;
use bytes::Bytes;
use futures_util::StreamExt;
use mesh::origins;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status, codegen::BoxStream, transport};
use wire::feed::{self as message, feed_server};

use crate::{Ask, Call, Delegation, Grant, Heartbeat, Lists, Part, Results, call, codec};

/// A message of another instance. A closed `reply` channel means that the caller no longer waits for the answer.
#[derive(Debug)]
pub enum Command {
    /// Runs pieces.
    Run {
        /// The pieces.
        delegation: Delegation,
        /// The channel for the outcomes.
        reply: oneshot::Sender<Results>,
    },
    /// Releases results.
    Release {
        /// The handles of the results.
        handles: Vec<Handle>,
    },
    /// Fetches the newest configuration.
    Config {
        /// The channel for the configuration as the operator wrote it, which is empty before one is known.
        reply: oneshot::Sender<Bytes>,
    },
    /// Fetches all records of the topics that the instance has read from the store.
    Lists {
        /// The channel for the records.
        reply: oneshot::Sender<Lists>,
    },
    /// Keeps the origins of streams.
    RecordOrigins {
        /// The origins.
        records: Vec<origins::Record>,
    },
    /// Looks up the origins of streams.
    FindOrigins {
        /// The streams.
        streams: Vec<Name>,
        /// The channel for the origins that are known.
        reply: oneshot::Sender<Vec<origins::Record>>,
    },
    /// Grants a turn at a server that limits its request rate.
    AskTurn {
        /// The question.
        ask: Ask,
        /// The channel for the answer.
        reply: oneshot::Sender<Grant>,
    },
    /// States that the request of a turn has ended.
    EndTurn {
        /// The server.
        server: Name,
        /// Whether the server turned the request away.
        is_rejected: bool,
    },
    /// Calls a server for an instance that doesn't reach it.
    Pass {
        /// The call.
        call: Call,
        /// The channel for the parts of the answer.
        parts: mpsc::Sender<Part>,
    },
    /// Exchanges heartbeats.
    Heartbeat {
        /// The heartbeat of the other instance.
        heartbeat: Box<Heartbeat>,
        /// The channel for the heartbeat of this instance.
        reply: oneshot::Sender<Heartbeat>,
    },
}

/// The parts of an answer that wait until the other instance takes them.
const MAX_WAITING_PARTS: usize = 4;

/// Starts a server for other instances in an actix runtime, which runs until the process ends.
///
/// # Errors
///
/// - The address is in use or doesn't belong to this machine.
pub fn serve(address: SocketAddr, commands: mpsc::UnboundedSender<Command>) -> io::Result<()> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let incoming = TcpListenerStream::new(TcpListener::from_std(listener)?);
    let service = feed_server::FeedServer::new(Service { commands });
    rt::spawn(async move {
        let server = transport::Server::builder().tcp_nodelay(true);
        if let Err(error) = server.serve_with_incoming(service, incoming).await {
            log::error!(target: "peers", cause:% = error; "server for other instances ended");
        }
    });
    Ok(())
}

struct Service {
    commands: mpsc::UnboundedSender<Command>,
}

impl Service {
    async fn request<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command + Send,
    ) -> Result<T, Status> {
        let (reply, answer) = oneshot::channel();
        let stopping = |_| Status::unavailable("the instance stops");
        self.commands
            .send(command(reply))
            .map_err(|_| Status::unavailable("the instance stops"))?;
        answer.await.map_err(stopping)
    }
}

#[tonic::async_trait]
impl feed_server::Feed for Service {
    type PassStream = BoxStream<message::Part>;

    async fn pass(
        &self,
        request: Request<message::Call>,
    ) -> Result<Response<Self::PassStream>, Status> {
        let (parts, receiver) = mpsc::channel(MAX_WAITING_PARTS);
        let call = call::decode(request.into_inner());
        self.commands
            .send(Command::Pass { call, parts })
            .map_err(|_| Status::unavailable("the instance stops"))?;
        let parts = ReceiverStream::new(receiver).map(|part| Ok(call::encode_part(part)));
        Ok(Response::new(Box::pin(parts)))
    }

    async fn make(
        &self,
        request: Request<message::Order>,
    ) -> Result<Response<message::Results>, Status> {
        let delegation = codec::decode_delegation(request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let results = self
            .request(|reply| Command::Run { delegation, reply })
            .await?;
        Ok(Response::new(codec::encode_results(results)))
    }

    async fn free(
        &self,
        request: Request<message::Handles>,
    ) -> Result<Response<message::Freed>, Status> {
        let count = request.into_inner().handles.len();
        log::debug!(target: "stages", results = count; "results of an instance of an earlier build are left to expire");
        Ok(Response::new(message::Freed {}))
    }

    async fn release(
        &self,
        request: Request<message::Handles>,
    ) -> Result<Response<message::Freed>, Status> {
        let handles = codec::decode_handles(request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        self.commands
            .send(Command::Release { handles })
            .map_err(|_| Status::unavailable("the instance stops"))?;
        Ok(Response::new(message::Freed {}))
    }

    async fn config(&self, _: Request<message::Want>) -> Result<Response<message::Record>, Status> {
        let record = self.request(|reply| Command::Config { reply }).await?;
        let record = record.to_vec();
        Ok(Response::new(message::Record { record }))
    }

    async fn lists(
        &self,
        _: Request<message::Want>,
    ) -> Result<Response<message::Contents>, Status> {
        let lists = self.request(|reply| Command::Lists { reply }).await?;
        Ok(Response::new(codec::encode_lists(lists)))
    }

    async fn note(
        &self,
        request: Request<message::Origins>,
    ) -> Result<Response<message::Noted>, Status> {
        let records = codec::decode_origins(request.into_inner());
        self.commands
            .send(Command::RecordOrigins { records })
            .map_err(|_| Status::unavailable("the instance stops"))?;
        Ok(Response::new(message::Noted {}))
    }

    async fn recall(
        &self,
        request: Request<message::Streams>,
    ) -> Result<Response<message::Origins>, Status> {
        let streams = codec::decode_streams(request.into_inner());
        let found = self
            .request(|reply| Command::FindOrigins { streams, reply })
            .await?;
        Ok(Response::new(codec::encode_origins(found)))
    }

    async fn turn(
        &self,
        request: Request<message::Ask>,
    ) -> Result<Response<message::Grant>, Status> {
        let ask = codec::decode_ask(request.into_inner())
            .ok_or_else(|| Status::invalid_argument("no statement of a rate"))?;
        let grant = self
            .request(|reply| Command::AskTurn { ask, reply })
            .await?;
        Ok(Response::new(codec::encode_grant(grant)))
    }

    async fn done(
        &self,
        request: Request<message::Ended>,
    ) -> Result<Response<message::Noted>, Status> {
        let ended = request.into_inner();
        self.commands
            .send(Command::EndTurn {
                server: ended.server.into(),
                is_rejected: ended.rejected,
            })
            .map_err(|_| Status::unavailable("the instance stops"))?;
        Ok(Response::new(message::Noted {}))
    }

    async fn beat(
        &self,
        request: Request<message::Pulse>,
    ) -> Result<Response<message::Pulse>, Status> {
        let heartbeat = codec::decode_heartbeat(request.into_inner());
        let own = self
            .request(|reply| Command::Heartbeat {
                heartbeat: Box::new(heartbeat),
                reply,
            })
            .await?;
        Ok(Response::new(codec::encode_heartbeat(own)))
    }
}
