//! The serving side, inside an actix runtime.

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

/// What an instance does for its peers; the edge of the process calls it.
///
/// Its futures are `Send`, so they may ask actors by their addresses.
pub trait Handler: Send + Sync + 'static {
    /// Takes a peer's summary and gives the own one.
    fn exchange(&self, summary: Summary) -> impl Future<Output = Result<Summary, Error>> + Send;

    /// Gives the proof of the configuration in force, at the position wanted or later.
    fn fetch(&self, want: Want) -> impl Future<Output = Result<Proof, Error>> + Send;

    /// Takes ledger records for a partition that this instance owns.
    fn submit(&self, batch: Batch) -> impl Future<Output = Result<Verdicts, Error>> + Send;

    /// Looks keys up in a partition that this instance owns.
    fn lookup(&self, slots: Slots) -> impl Future<Output = Result<Verdicts, Error>> + Send;

    /// Decides on a trial of a suspect content that this instance owns.
    fn permit(&self, trial: Trial) -> impl Future<Output = Result<Grant, Error>> + Send;

    /// Condenses what this instance counted, for a report.
    fn condense(&self, moment: Moment) -> impl Future<Output = Result<Part, Error>> + Send;
}

/// A running server; it goes on when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: rt::task::JoinHandle<Result<(), transport::Error>>,
    grace: core::time::Duration,
}

/// Starts to serve peers at an address; port 0 takes a free one.
///
/// It has to be called inside an actix runtime.
///
/// # Errors
///
/// - The address is taken or not of this machine.
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

/// Starts to serve peers at a listener that was bound before.
///
/// It has to be called inside an actix runtime.
///
/// # Errors
///
/// - The listener cannot be used without blocking.
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
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async move {
        // A dropped handle leaves the server running.
        if stopped.await.is_err() {
            core::future::pending::<()>().await;
        }
    };
    let server = transport::Server::builder().tcp_nodelay(true);
    let task = async move {
        server
            .serve_with_incoming_shutdown(service, incoming, stopped)
            .await
    };
    Ok(Handle {
        address,
        stop,
        task: rt::spawn(task),
        grace: config.grace_period,
    })
}

impl Handle {
    /// Returns the address that is served.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting calls, and returns once those in flight are answered or the grace period is over.
    pub async fn stop(self) {
        // The server has ended by itself where nobody receives this.
        let _ = self.stop.send(());
        let abort = self.task.abort_handle();
        if rt::time::timeout(self.grace, self.task).await.is_err() {
            log::warn!("peer calls were still open {:?} after the stop", self.grace);
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
