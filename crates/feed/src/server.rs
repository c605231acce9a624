//! Answers other instances.

use std::{io, net::SocketAddr};

use actix_web::rt;
use batch::piece::Handle;
use bytes::Bytes;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport};
use wire::feed::{self as message, feed_server};

use crate::{Delegation, Heartbeat, Results, codec};

/// What another instance asks; whoever waits for the answer has gone once `reply` is closed.
#[derive(Debug)]
pub enum Command {
    /// Pieces are to be made.
    Run {
        /// The pieces.
        delegation: Delegation,
        /// Where the results go.
        reply: oneshot::Sender<Results>,
    },
    /// Results are given up.
    Release {
        /// The results.
        handles: Vec<Handle>,
    },
    /// The newest configuration is wanted.
    Config {
        /// Where it goes, as the operator wrote it; empty before one is known.
        reply: oneshot::Sender<Bytes>,
    },
    /// An instance tells that it lives.
    Heartbeat {
        /// What it tells.
        heartbeat: Heartbeat,
        /// Where the own pulse goes.
        reply: oneshot::Sender<Heartbeat>,
    },
}

/// Starts to answer other instances inside an actix runtime, until the process ends.
///
/// # Errors
///
/// - The address is taken or not of this machine.
pub fn serve(address: SocketAddr, asks: mpsc::UnboundedSender<Command>) -> io::Result<()> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let incoming = TcpListenerStream::new(TcpListener::from_std(listener)?);
    let service = feed_server::FeedServer::new(Service { asks });
    rt::spawn(async move {
        let server = transport::Server::builder().tcp_nodelay(true);
        if let Err(error) = server.serve_with_incoming(service, incoming).await {
            log::error!(target: "peers", cause:% = error; "listener for instances ended");
        }
    });
    Ok(())
}

struct Service {
    asks: mpsc::UnboundedSender<Command>,
}

impl Service {
    async fn ask<T>(
        &self,
        ask: impl FnOnce(oneshot::Sender<T>) -> Command + Send,
    ) -> Result<T, Status> {
        let (reply, answer) = oneshot::channel();
        let gone = |_| Status::unavailable("the instance stops");
        self.asks
            .send(ask(reply))
            .map_err(|_| Status::unavailable("the instance stops"))?;
        answer.await.map_err(gone)
    }
}

#[tonic::async_trait]
impl feed_server::Feed for Service {
    async fn make(
        &self,
        request: Request<message::Order>,
    ) -> Result<Response<message::Results>, Status> {
        let order = codec::decode_order(request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let results = self
            .ask(|reply| Command::Run {
                delegation: order,
                reply,
            })
            .await?;
        Ok(Response::new(codec::encode_results(results)))
    }

    async fn free(
        &self,
        request: Request<message::Handles>,
    ) -> Result<Response<message::Freed>, Status> {
        let handles = codec::decode_handles(request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        self.asks
            .send(Command::Release { handles })
            .map_err(|_| Status::unavailable("the instance stops"))?;
        Ok(Response::new(message::Freed {}))
    }

    async fn config(&self, _: Request<message::Want>) -> Result<Response<message::Record>, Status> {
        let record = self.ask(|reply| Command::Config { reply }).await?;
        let record = record.to_vec();
        Ok(Response::new(message::Record { record }))
    }

    async fn beat(
        &self,
        request: Request<message::Pulse>,
    ) -> Result<Response<message::Pulse>, Status> {
        let pulse = codec::decode_pulse(request.into_inner());
        let own = self
            .ask(|reply| Command::Heartbeat {
                heartbeat: pulse,
                reply,
            })
            .await?;
        Ok(Response::new(codec::encode_pulse(own)))
    }
}
