//! Server for other instances, inside an actix runtime.

use core::future::Future;
use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
};

use actix_web::rt;
use member::Summary;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport};
use wire::{Batch, Grant, Moment, Part, Proof, Slots, Trial, Verdicts, Want, peer_server};

use crate::{Error, codec, configs};

/// The handler of calls from other instances.
///
/// Its futures are `Send`, so that they can send messages to actors.
pub trait Handler: Send + Sync + 'static {
    /// Applies a peer's summary and returns this instance's own one.
    fn exchange(&self, summary: Summary) -> impl Future<Output = Result<Summary, Error>> + Send;

    /// Returns the proof of the active configuration, at the requested position or later.
    fn fetch(&self, want: Want) -> impl Future<Output = Result<Proof, Error>> + Send;

    /// Accepts ledger records for a partition that this instance owns.
    fn submit(&self, batch: Batch) -> impl Future<Output = Result<Verdicts, Error>> + Send;

    /// Looks up keys in a partition that this instance owns.
    fn lookup(&self, slots: Slots) -> impl Future<Output = Result<Verdicts, Error>> + Send;

    /// Decides whether a suspect content that this instance owns may be run, or records the result of a run.
    fn permit(&self, trial: Trial) -> impl Future<Output = Result<Grant, Error>> + Send;

    /// Returns this instance's condensed statistics for a report.
    fn condense(&self, moment: Moment) -> impl Future<Output = Result<Part, Error>> + Send;
}

/// A handle of a running server. The server keeps running if the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: rt::task::JoinHandle<Result<(), transport::Error>>,
    grace_period: core::time::Duration,
}

/// Starts a server for other instances at an address. Port 0 selects a free port.
///
/// It must be called inside an actix runtime.
///
/// # Errors
///
/// - The address is in use, or is not an address of this machine.
///
/// # Examples
///
/// ```
/// use member::Summary;
/// use peer::{Error, Handler};
/// use wire::{Batch, Grant, Moment, Part, Proof, Slots, Trial, Verdicts, Want};
///
/// struct Echo;
/// impl Handler for Echo {
///     async fn exchange(&self, summary: Summary) -> Result<Summary, Error> { Ok(summary) }
///     async fn fetch(&self, _: Want) -> Result<Proof, Error> { Err(Error::Refused("none".into())) }
///     async fn submit(&self, _: Batch) -> Result<Verdicts, Error> { Ok(Verdicts::default()) }
///     async fn lookup(&self, _: Slots) -> Result<Verdicts, Error> { Ok(Verdicts::default()) }
///     async fn permit(&self, _: Trial) -> Result<Grant, Error> { Ok(Grant::default()) }
///     async fn condense(&self, _: Moment) -> Result<Part, Error> { Ok(Part::default()) }
/// }
///
/// actix_web::rt::System::new().block_on(async {
///     let config = peer::configs::peer::Config::default();
///     let handle = peer::bind("127.0.0.1:0".parse().unwrap(), Echo, &config).unwrap();
///     let client = peer::Client::open(&handle.address().to_string(), config).unwrap();
///     assert_eq!(client.exchange(&Summary::default()).await, Ok(Summary::default()));
///     handle.stop().await;
/// });
/// ```
pub fn bind(
    address: SocketAddr,
    handler: impl Handler,
    config: &configs::peer::Config,
) -> io::Result<Handle> {
    serve(TcpListener::bind(address)?, handler, config)
}

/// Starts a server for other instances on a listener.
///
/// It must be called inside an actix runtime.
///
/// # Errors
///
/// - The listener cannot be set to non-blocking mode.
///
/// # Examples
///
/// As for [`bind`], with the listener bound before the runtime starts:
///
/// ```
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// # fn start(listener: std::net::TcpListener, handler: impl peer::Handler) {
/// let config = peer::configs::peer::Config::default();
/// let handle = peer::serve(listener, handler, &config).unwrap();
/// # drop(handle);
/// # }
/// ```
pub fn serve(
    listener: TcpListener,
    handler: impl Handler,
    config: &configs::peer::Config,
) -> io::Result<Handle> {
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let incoming = TcpListenerStream::new(tokio::net::TcpListener::from_std(listener)?);
    let service = peer_server::PeerServer::new(Service(Arc::new(handler)))
        .max_decoding_message_size(config.max_message_bytes)
        .max_encoding_message_size(config.max_message_bytes);
    let (stop, stop_received) = oneshot::channel::<()>();
    let shutdown = async move {
        // The server keeps running if the handle is dropped.
        if stop_received.await.is_err() {
            core::future::pending::<()>().await;
        }
    };
    let server = transport::Server::builder().tcp_nodelay(true);
    let task = async move {
        server
            .serve_with_incoming_shutdown(service, incoming, shutdown)
            .await
    };
    Ok(Handle {
        address,
        stop,
        task: rt::spawn(task),
        grace_period: config.grace_period,
    })
}

impl Handle {
    /// Returns the listen address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting calls and waits until the calls in flight are answered or the grace period is over.
    pub async fn stop(self) {
        // Sending fails only if the server has already ended.
        let _ = self.stop.send(());
        let abort = self.task.abort_handle();
        if rt::time::timeout(self.grace_period, self.task)
            .await
            .is_err()
        {
            log::warn!(
                "peer calls still in flight {:?} after the server stopped; closing their connections",
                self.grace_period
            );
            abort.abort();
        }
    }
}

struct Service<H>(Arc<H>);

#[tonic::async_trait]
impl<H: Handler> peer_server::Peer for Service<H> {
    async fn exchange(
        &self,
        request: Request<wire::Summary>,
    ) -> Result<Response<wire::Summary>, Status> {
        let summary = codec::decode(request.into_inner())?;
        let answer = self.0.exchange(summary).await?;
        Ok(Response::new(codec::encode(&answer)))
    }

    async fn fetch(&self, request: Request<Want>) -> Result<Response<Proof>, Status> {
        Ok(Response::new(self.0.fetch(request.into_inner()).await?))
    }

    async fn submit(&self, request: Request<Batch>) -> Result<Response<Verdicts>, Status> {
        Ok(Response::new(self.0.submit(request.into_inner()).await?))
    }

    async fn lookup(&self, request: Request<Slots>) -> Result<Response<Verdicts>, Status> {
        Ok(Response::new(self.0.lookup(request.into_inner()).await?))
    }

    async fn permit(&self, request: Request<Trial>) -> Result<Response<Grant>, Status> {
        Ok(Response::new(self.0.permit(request.into_inner()).await?))
    }

    async fn condense(&self, request: Request<Moment>) -> Result<Response<Part>, Status> {
        Ok(Response::new(self.0.condense(request.into_inner()).await?))
    }
}
