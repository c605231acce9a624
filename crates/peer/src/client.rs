//! The way to another instance.

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

/// A kept connection to one instance, opened at the first call.
///
/// A connection on which a call passes its deadline is taken to be silent and given up: the call
/// fails, and the next one opens a new connection. So the bound for finding a silent connection is the
/// deadline of the first call made over it. No pings are sent, as fifty idle connections would spend
/// a third of the bytes that an instance may use.
#[derive(Debug)]
pub struct Client {
    endpoint: Endpoint,
    config: configs::peer::Config,
    line: Mutex<Line>,
}

/// The connection in use.
#[derive(Debug)]
struct Line {
    channel: Channel,
    /// Grows with each connection.
    number: u64,
    /// Whether a call was answered over it.
    proven: bool,
}

impl Client {
    /// Makes a client for an address, `ip:port`, without connecting yet.
    ///
    /// # Errors
    ///
    /// - The text is not an address.
    ///
    /// # Examples
    ///
    /// ```
    /// let config = peer::configs::peer::Config::default();
    /// assert!(peer::Client::open("entry-1", config).is_err());
    /// ```
    pub fn open(address: &str, config: configs::peer::Config) -> Result<Self, Error> {
        let wrong = || Error::Address(address.to_owned());
        let socket: core::net::SocketAddr = address.parse().map_err(|_| wrong())?;
        let endpoint = Endpoint::from_shared(format!("http://{socket}"))
            .map_err(|_| wrong())?
            .connect_timeout(config.connect_timeout)
            .tcp_nodelay(true);
        let line = Mutex::new(Line::new(&endpoint, 0));
        Ok(Self {
            endpoint,
            config,
            line,
        })
    }

    /// Exchanges summaries.
    ///
    /// # Errors
    ///
    /// - As [`Error`] lists, within the deadline for exchanges.
    pub async fn exchange(&self, summary: &Summary) -> Result<Summary, Error> {
        let summary = codec::encode(summary);
        let call = |mut peer: PeerClient<Channel>| async move { peer.exchange(summary).await };
        codec::decode(self.call(self.config.exchange_timeout, call).await?)
    }

    /// Fetches the proof of a configuration.
    ///
    /// # Errors
    ///
    /// - As [`Error`] lists, within the deadline for fetching.
    pub async fn fetch(&self, want: Want) -> Result<Proof, Error> {
        let call = |mut peer: PeerClient<Channel>| async move { peer.fetch(want).await };
        self.call(self.config.fetch_timeout, call).await
    }

    /// Submits ledger records to the owner of their partition.
    ///
    /// # Errors
    ///
    /// - As [`Error`] lists, within the deadline for submissions. All but [`Error::Refused`] leave open
    ///   whether the records were taken; sending them again is harmless.
    pub async fn submit(&self, batch: Batch) -> Result<Verdicts, Error> {
        let call = |mut peer: PeerClient<Channel>| async move { peer.submit(batch).await };
        self.call(self.config.submit_timeout, call).await
    }

    /// Looks keys up at the owner of their partition.
    ///
    /// # Errors
    ///
    /// - As [`Error`] lists, within the deadline for look-ups.
    pub async fn lookup(&self, slots: Slots) -> Result<Verdicts, Error> {
        let call = |mut peer: PeerClient<Channel>| async move { peer.lookup(slots).await };
        self.call(self.config.lookup_timeout, call).await
    }

    /// Asks the owner of a suspect content for a permit, or reports how its run ended.
    ///
    /// # Errors
    ///
    /// - As [`Error`] lists, within the deadline for permits. Without a permit the content must not run.
    pub async fn permit(&self, trial: Trial) -> Result<Grant, Error> {
        let call = |mut peer: PeerClient<Channel>| async move { peer.permit(trial).await };
        self.call(self.config.permit_timeout, call).await
    }

    /// Asks for what the instance counted, condensed for a report at a time.
    ///
    /// # Errors
    ///
    /// - As [`Error`] lists, within the deadline for parts.
    pub async fn condense(&self, moment: Moment) -> Result<Part, Error> {
        let call = |mut peer: PeerClient<Channel>| async move { peer.condense(moment).await };
        self.call(self.config.condense_timeout, call).await
    }

    async fn call<T, F>(
        &self,
        deadline: Duration,
        call: impl FnOnce(PeerClient<Channel>) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let (channel, number, proven) =
            self.with(|line| (line.channel.clone(), line.number, line.proven));
        let peer = PeerClient::new(channel)
            .max_decoding_message_size(self.config.max_message_bytes)
            .max_encoding_message_size(self.config.max_message_bytes);
        match rt::time::timeout(deadline, call(peer)).await {
            Ok(Ok(response)) => {
                self.with(|line| line.proven |= line.number == number);
                Ok(response.into_inner())
            }
            Ok(Err(status)) => Err(status.into()),
            Err(_) => {
                self.replace(number);
                Err(Error::Timeout { fresh: !proven })
            }
        }
    }

    /// Gives up a connection, unless another call has done so already.
    fn replace(&self, number: u64) {
        self.with(|line| {
            if line.number == number {
                *line = Line::new(&self.endpoint, number + 1);
            }
        });
    }

    fn with<T>(&self, act: impl FnOnce(&mut Line) -> T) -> T {
        act(&mut self.line.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Line {
    fn new(endpoint: &Endpoint, number: u64) -> Self {
        Self {
            channel: endpoint.connect_lazy(),
            number,
            proven: false,
        }
    }
}
