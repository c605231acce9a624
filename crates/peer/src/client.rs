//! Client of another instance.

use core::{future::Future, time::Duration};
use std::sync::{Mutex, PoisonError};

use actix_web::rt;
use member::Summary;
use tonic::{
    Response, Status,
    transport::{Channel, Endpoint},
};
use wire::{
    Batch, Grant, Moment, Part, Proof, Slots, Trial, Verdicts, Want, peer_client::PeerClient,
};

use crate::{Error, codec, configs};

/// A persistent connection to one instance, opened at the first call.
///
/// A connection on which a call times out is considered broken: the call fails, and the next one opens a new
/// connection. A broken connection is thus detected within the timeout of the first call made over it. No
/// pings are sent, as with fifty idle connections they would take a third of the bytes that an instance may use.
#[derive(Debug)]
pub struct Client {
    endpoint: Endpoint,
    config: configs::peer::Config,
    connection: Mutex<Connection>,
}

/// The current connection.
#[derive(Debug)]
struct Connection {
    channel: Channel,
    /// The number of connections opened before this one.
    generation: u64,
    /// Whether a call was answered over this connection.
    has_answered: bool,
}

impl Client {
    /// Returns a client for an address of the form `ip:port`, without connecting yet.
    ///
    /// # Errors
    ///
    /// - The text is not a valid address.
    ///
    /// # Examples
    ///
    /// ```
    /// let config = peer::configs::peer::Config::default();
    /// assert!(peer::Client::open("entry-1", config).is_err());
    /// ```
    pub fn open(address: &str, config: configs::peer::Config) -> Result<Self, Error> {
        let invalid = || Error::Address(address.to_owned());
        let socket: core::net::SocketAddr = address.parse().map_err(|_| invalid())?;
        let endpoint = Endpoint::from_shared(format!("http://{socket}"))
            .map_err(|_| invalid())?
            .connect_timeout(config.connect_timeout)
            .tcp_nodelay(true);
        let connection = Mutex::new(Connection::new(&endpoint, 0));
        Ok(Self {
            endpoint,
            config,
            connection,
        })
    }

    /// Exchanges summaries.
    ///
    /// # Errors
    ///
    /// - Any [`Error`], at the latest after the timeout for exchanges.
    pub async fn exchange(&self, summary: &Summary) -> Result<Summary, Error> {
        let summary = codec::encode(summary);
        let call = |mut peer: PeerClient<Channel>| async move { peer.exchange(summary).await };
        codec::decode(self.call(self.config.exchange_timeout, call).await?)
    }

    /// Fetches the proof of a configuration.
    ///
    /// # Errors
    ///
    /// - Any [`Error`], at the latest after the timeout for fetching.
    pub async fn fetch(&self, want: Want) -> Result<Proof, Error> {
        let call = |mut peer: PeerClient<Channel>| async move { peer.fetch(want).await };
        self.call(self.config.fetch_timeout, call).await
    }

    /// Submits ledger records to the owner of their partition.
    ///
    /// # Errors
    ///
    /// - Any [`Error`], at the latest after the timeout for submissions. After any error but
    ///   [`Error::Refused`] the records may have been accepted; sending them again is harmless.
    pub async fn submit(&self, batch: Batch) -> Result<Verdicts, Error> {
        let call = |mut peer: PeerClient<Channel>| async move { peer.submit(batch).await };
        self.call(self.config.submit_timeout, call).await
    }

    /// Looks up keys at the owner of their partition.
    ///
    /// # Errors
    ///
    /// - Any [`Error`], at the latest after the timeout for look-ups.
    pub async fn lookup(&self, slots: Slots) -> Result<Verdicts, Error> {
        let call = |mut peer: PeerClient<Channel>| async move { peer.lookup(slots).await };
        self.call(self.config.lookup_timeout, call).await
    }

    /// Requests the permit to run a suspect content, which its owner grants, or reports the result of a run.
    ///
    /// # Errors
    ///
    /// - Any [`Error`], at the latest after the timeout for permits. Without a permit the content must not be run.
    pub async fn permit(&self, trial: Trial) -> Result<Grant, Error> {
        let call = |mut peer: PeerClient<Channel>| async move { peer.permit(trial).await };
        self.call(self.config.permit_timeout, call).await
    }

    /// Fetches the instance's condensed statistics for the report of a moment.
    ///
    /// # Errors
    ///
    /// - Any [`Error`], at the latest after the timeout for parts.
    pub async fn condense(&self, moment: Moment) -> Result<Part, Error> {
        let call = |mut peer: PeerClient<Channel>| async move { peer.condense(moment).await };
        self.call(self.config.condense_timeout, call).await
    }

    async fn call<T, F>(
        &self,
        timeout: Duration,
        call: impl FnOnce(PeerClient<Channel>) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let (channel, generation, has_answered) = self.with_connection(|connection| {
            (
                connection.channel.clone(),
                connection.generation,
                connection.has_answered,
            )
        });
        let peer = PeerClient::new(channel)
            .max_decoding_message_size(self.config.max_message_bytes)
            .max_encoding_message_size(self.config.max_message_bytes);
        match rt::time::timeout(timeout, call(peer)).await {
            Ok(Ok(response)) => {
                self.with_connection(|connection| {
                    connection.has_answered |= connection.generation == generation
                });
                Ok(response.into_inner())
            }
            Ok(Err(status)) => Err(status.into()),
            Err(_) => {
                self.replace(generation);
                Err(Error::Timeout {
                    fresh: !has_answered,
                })
            }
        }
    }

    /// Replaces a connection, unless another call has already replaced it.
    fn replace(&self, generation: u64) {
        self.with_connection(|connection| {
            if connection.generation == generation {
                *connection = Connection::new(&self.endpoint, generation + 1);
            }
        });
    }

    fn with_connection<T>(&self, access: impl FnOnce(&mut Connection) -> T) -> T {
        access(
            &mut self
                .connection
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }
}

impl Connection {
    fn new(endpoint: &Endpoint, generation: u64) -> Self {
        Self {
            channel: endpoint.connect_lazy(),
            generation,
            has_answered: false,
        }
    }
}
