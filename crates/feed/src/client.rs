//! Client for calls to other instances.

use core::{cell::RefCell, time::Duration};
use std::net::SocketAddr;

use base::Name;
use batch::piece::Handle;
use bytes::Bytes;
use mesh::origins;
use relay::Failure;
use tokio::time;
use tonic::{
    Code, Status, Streaming,
    transport::{Channel, Endpoint},
};
use wire::feed::{self as message, feed_client::FeedClient};

use crate::{
    Ask, Call, Delegation, Error, Grant, Head, Heartbeat, Lists, Part, Results, call, codec,
    connection::Connector,
};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The time without traffic after which a connection with calls in flight is probed, and the timeout of the probe. Its
/// instance may answer heartbeats on a new connection meanwhile.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which a connection is closed whose instance takes no bytes. That of a call that was given up is no longer
/// probed.
const WRITE_TIMEOUT: Duration = PROBE_INTERVAL.saturating_add(PROBE_TIMEOUT);

/// The timeout for releasing results through another instance.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout for fetching the configuration of another instance, which may send a large one to many at the same time.
/// Probes end a call on a silent connection earlier.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(4);

/// The timeout for fetching the lists of another instance, which may send them to many at the same time.
const LISTS_TIMEOUT: Duration = Duration::from_secs(4);

/// The timeout for recording origins at another instance.
const ORIGINS_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest size of these lists, in bytes.
const MAX_LISTS_BYTES: usize = 64 * 1024 * 1024;

/// A client for other instances, whose connections open on first use.
#[derive(Debug, Default)]
pub struct Client {
    channels: RefCell<Vec<(SocketAddr, Channel)>>,
}

impl Client {
    /// Delegates pieces to another instance and returns their outcomes.
    ///
    /// # Errors
    ///
    /// - The instance is unreachable or stopping; the pieces may run nevertheless.
    pub async fn run_pieces(
        &self,
        address: SocketAddr,
        delegation: Delegation,
    ) -> Result<Results, Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let answer = client.make(codec::encode_delegation(delegation)).await;
        match answer {
            Ok(results) => codec::decode_results(results.into_inner()),
            Err(status) => Err(self.drop_channel(address, status.to_string())),
        }
    }

    /// Releases results through another instance.
    ///
    /// # Errors
    ///
    /// - The instance is unreachable, stopping or doesn't answer in time.
    pub async fn release(&self, address: SocketAddr, handles: &[Handle]) -> Result<(), Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let answer = time::timeout(
            RELEASE_TIMEOUT,
            client.release(codec::encode_handles(handles)),
        )
        .await;
        match answer {
            Ok(Ok(_)) => Ok(()),
            // An earlier build, which is reachable.
            Ok(Err(status)) if status.code() == Code::Unimplemented => {
                Err(Error::Call(status.to_string()))
            }
            Ok(Err(status)) => Err(self.drop_channel(address, status.to_string())),
            Err(_) => Err(self.drop_channel(address, "no answer in time".to_owned())),
        }
    }

    /// Returns the configuration of another instance as the operator wrote it, or none before it knows one.
    ///
    /// # Errors
    ///
    /// - The instance is unreachable, stopping or doesn't answer in time.
    pub async fn config(&self, address: SocketAddr) -> Result<Option<Bytes>, Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let answer = time::timeout(CONFIG_TIMEOUT, client.config(message::Want {})).await;
        match answer {
            Ok(Ok(record)) => {
                let record = record.into_inner().record;
                Ok((!record.is_empty()).then(|| Bytes::from(record)))
            }
            Ok(Err(status)) => Err(self.drop_channel(address, status.to_string())),
            Err(_) => Err(self.drop_channel(address, "no answer in time".to_owned())),
        }
    }

    /// Returns all records of the topics that another instance has read from the store.
    ///
    /// # Errors
    ///
    /// - The instance is unreachable, stopping or doesn't answer in time.
    pub async fn lists(&self, address: SocketAddr) -> Result<Lists, Error> {
        let client = FeedClient::new(self.channel(address)?);
        let mut client = client.max_decoding_message_size(MAX_LISTS_BYTES);
        let answer = time::timeout(LISTS_TIMEOUT, client.lists(message::Want {})).await;
        match answer {
            Ok(Ok(contents)) => Ok(codec::decode_lists(contents.into_inner())),
            Ok(Err(status)) => Err(self.drop_channel(address, status.to_string())),
            Err(_) => Err(self.drop_channel(address, "no answer in time".to_owned())),
        }
    }

    /// Records origins of streams at another instance.
    ///
    /// # Errors
    ///
    /// - The instance is unreachable, stopping, doesn't answer in time or doesn't know the call.
    pub async fn record_origins(
        &self,
        address: SocketAddr,
        records: Vec<origins::Record>,
    ) -> Result<(), Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let call = client.note(codec::encode_origins(records));
        match time::timeout(ORIGINS_TIMEOUT, call).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(status)) if status.code() == Code::Unimplemented => {
                Err(Error::Call(status.to_string()))
            }
            Ok(Err(status)) => Err(self.drop_channel(address, status.to_string())),
            Err(_) => Err(self.drop_channel(address, "no answer in time".to_owned())),
        }
    }

    /// Returns the origins of streams that another instance knows. An instance that doesn't know the call knows none.
    ///
    /// # Errors
    ///
    /// - The instance is unreachable, stopping or doesn't answer in time.
    pub async fn find_origins(
        &self,
        address: SocketAddr,
        streams: &[Name],
        timeout: Duration,
    ) -> Result<Vec<origins::Record>, Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let call = client.recall(codec::encode_streams(streams));
        match time::timeout(timeout, call).await {
            Ok(Ok(found)) => Ok(codec::decode_origins(found.into_inner())),
            Ok(Err(status)) if status.code() == Code::Unimplemented => Ok(Vec::new()),
            Ok(Err(status)) => Err(self.drop_channel(address, status.to_string())),
            Err(_) => Err(self.drop_channel(address, "no answer in time".to_owned())),
        }
    }

    /// Asks another instance for a turn at a server that limits its request rate.
    ///
    /// # Errors
    ///
    /// - The instance is unreachable, stopping, doesn't answer in time or doesn't know the call.
    pub async fn ask_turn(
        &self,
        address: SocketAddr,
        ask: Ask,
        timeout: Duration,
    ) -> Result<Grant, Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let call = client.turn(codec::encode_ask(ask));
        match time::timeout(timeout, call).await {
            Ok(Ok(grant)) => Ok(codec::decode_grant(grant.into_inner())),
            Ok(Err(status)) if status.code() == Code::Unimplemented => {
                Err(Error::Call(status.to_string()))
            }
            Ok(Err(status)) => Err(self.drop_channel(address, status.to_string())),
            Err(_) => Err(self.drop_channel(address, "no answer in time".to_owned())),
        }
    }

    /// Tells another instance that the request of a turn has ended.
    ///
    /// # Errors
    ///
    /// - As for [`Client::ask_turn`].
    pub async fn end_turn(
        &self,
        address: SocketAddr,
        server: &Name,
        is_rejected: bool,
        timeout: Duration,
    ) -> Result<(), Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let call = client.done(message::Ended {
            server: server.as_str().to_owned(),
            rejected: is_rejected,
        });
        match time::timeout(timeout, call).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(status)) => Err(Error::Call(status.to_string())),
            Err(_) => Err(Error::Call("no answer in time".to_owned())),
        }
    }

    /// Has another instance call a server, and returns the answer once its head has arrived.
    ///
    /// # Errors
    ///
    /// - [`Failure::HelperUnavailable`] if the other instance did not make the call.
    /// - [`Failure::HelperLost`] if it may have made it.
    /// - The failure of the call.
    pub async fn pass(&self, address: SocketAddr, call: Call) -> Result<Passed, Failure> {
        let unavailable = |error: Error| {
            log::debug!(target: "peers", address:% = address, cause:% = error; "call not passed to the instance");
            Failure::HelperUnavailable
        };
        let mut client = FeedClient::new(self.channel(address).map_err(unavailable)?);
        let answer = client.pass(call::encode(call)).await;
        let mut parts = match answer {
            Ok(parts) => parts.into_inner(),
            Err(status) => {
                let is_unknown = status.code() == Code::Unimplemented;
                let is_unsent = is_unknown || is_connect_error(&status);
                let error = self.drop_channel(address, status.to_string());
                log::info!(target: "peers", address:% = address, cause:% = error; "call through the instance failed");
                return Err(match is_unsent {
                    true => Failure::HelperUnavailable,
                    false => Failure::HelperLost,
                });
            }
        };
        match next_part(&mut parts).await? {
            Part::Head(head) => Ok(Passed { head, parts }),
            Part::Failed(failure) => Err(failure),
            Part::Chunk(_) | Part::End => Err(Failure::HelperLost),
        }
    }

    /// Exchanges heartbeats with another instance.
    ///
    /// # Errors
    ///
    /// - The call fails or times out. The connection is then dropped, as it may never answer again.
    pub async fn send_heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
        timeout: Duration,
    ) -> Result<Heartbeat, Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let answer = time::timeout(timeout, client.beat(codec::encode_heartbeat(heartbeat))).await;
        match answer {
            Ok(Ok(heartbeat)) => Ok(codec::decode_heartbeat(heartbeat.into_inner())),
            Ok(Err(status)) => Err(self.drop_channel(address, status.to_string())),
            Err(_) => Err(self.drop_channel(address, "no answer in time".to_owned())),
        }
    }

    fn drop_channel(&self, address: SocketAddr, cause: String) -> Error {
        self.channels
            .borrow_mut()
            .retain(|(known, _)| *known != address);
        Error::Call(cause)
    }

    fn channel(&self, address: SocketAddr) -> Result<Channel, Error> {
        let mut channels = self.channels.borrow_mut();
        let at = match channels.binary_search_by_key(&address, |(known, _)| *known) {
            Ok(at) => at,
            Err(at) => {
                let endpoint = Endpoint::from_shared(format!("http://{address}"))
                    .map_err(|error| Error::Call(error.to_string()))?;
                let channel = endpoint
                    .connect_timeout(CONNECT_TIMEOUT)
                    .http2_keep_alive_interval(PROBE_INTERVAL)
                    .keep_alive_timeout(PROBE_TIMEOUT)
                    .connect_with_connector_lazy(Connector {
                        address,
                        write_timeout: WRITE_TIMEOUT,
                    });
                channels.insert(at, (address, channel));
                at
            }
        };
        Ok(channels[at].1.clone())
    }
}

/// The answer to a call that another instance made.
#[derive(Debug)]
pub struct Passed {
    /// The head.
    pub head: Head,
    parts: Streaming<message::Part>,
}

impl Passed {
    /// Returns the next bytes of the body, or none at its regular end.
    ///
    /// # Errors
    ///
    /// - [`Failure::HelperLost`] if the other instance is lost.
    /// - The failure of the call.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        match next_part(&mut self.parts).await? {
            Part::Chunk(bytes) => Ok(Some(bytes)),
            Part::End => Ok(None),
            Part::Failed(failure) => Err(failure),
            Part::Head(_) => Err(Failure::HelperLost),
        }
    }
}

async fn next_part(parts: &mut Streaming<message::Part>) -> Result<Part, Failure> {
    match parts.message().await {
        Ok(part) => part.and_then(call::decode_part).ok_or(Failure::HelperLost),
        Err(status) => {
            log::info!(target: "peers", cause:% = status; "instance that made a call was lost");
            Err(Failure::HelperLost)
        }
    }
}

/// Returns whether a call failed before a connection to the instance was open.
fn is_connect_error(status: &Status) -> bool {
    let mut source = core::error::Error::source(status);
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}
