//! The way to other instances.

use core::{cell::RefCell, time::Duration};
use std::net::SocketAddr;

use batch::piece::Handle;
use bytes::Bytes;
use tokio::time;
use tonic::transport::{Channel, Endpoint};
use wire::feed::{self as message, feed_client::FeedClient};

use crate::{Delegation, Error, Heartbeat, Results, codec};

/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_millis(300);

/// How long another instance may take to note that results are given up.
const FREE: Duration = Duration::from_millis(500);

/// How long another instance may take to give its configuration.
const CONFIG: Duration = Duration::from_secs(1);

/// Connections to other instances, opened as they are needed.
#[derive(Debug, Default)]
pub struct Client {
    channels: RefCell<Vec<(SocketAddr, Channel)>>,
}

impl Client {
    /// Has another instance make pieces.
    ///
    /// # Errors
    ///
    /// - The instance can't be reached or stops; the pieces may be made all the same.
    pub async fn run_pieces(
        &self,
        address: SocketAddr,
        order: Delegation,
    ) -> Result<Results, Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let answer = client.make(codec::encode_order(order)).await;
        match answer {
            Ok(results) => codec::decode_results(results.into_inner()),
            Err(status) => Err(self.failed(address, status.to_string())),
        }
    }

    /// Has another instance give up results.
    ///
    /// # Errors
    ///
    /// - The instance can't be reached or stops.
    pub async fn release(&self, address: SocketAddr, handles: &[Handle]) -> Result<(), Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let answer = time::timeout(FREE, client.free(codec::encode_handles(handles))).await;
        match answer {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(status)) => Err(self.failed(address, status.to_string())),
            Err(_) => Err(self.failed(address, "no answer in time".to_owned())),
        }
    }

    /// Returns another instance's configuration, as the operator wrote it; none before it knows one.
    ///
    /// # Errors
    ///
    /// - The instance can't be reached or stops.
    pub async fn config(&self, address: SocketAddr) -> Result<Option<Bytes>, Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let answer = time::timeout(CONFIG, client.config(message::Want {})).await;
        match answer {
            Ok(Ok(record)) => {
                let record = record.into_inner().record;
                Ok((!record.is_empty()).then(|| Bytes::from(record)))
            }
            Ok(Err(status)) => Err(self.failed(address, status.to_string())),
            Err(_) => Err(self.failed(address, "no answer in time".to_owned())),
        }
    }

    /// Exchanges pulses with another instance.
    ///
    /// # Errors
    ///
    /// - There is no answer in time; the connection is given up, as it may be silent for good.
    pub async fn send_heartbeat(
        &self,
        address: SocketAddr,
        pulse: Heartbeat,
        limit: Duration,
    ) -> Result<Heartbeat, Error> {
        let mut client = FeedClient::new(self.channel(address)?);
        let answer = time::timeout(limit, client.beat(codec::encode_pulse(pulse))).await;
        match answer {
            Ok(Ok(pulse)) => Ok(codec::decode_pulse(pulse.into_inner())),
            Ok(Err(status)) => Err(self.failed(address, status.to_string())),
            Err(_) => Err(self.failed(address, "no answer in time".to_owned())),
        }
    }

    fn failed(&self, address: SocketAddr, cause: String) -> Error {
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
                    .connect_timeout(CONNECT)
                    .tcp_nodelay(true)
                    .connect_lazy();
                channels.insert(at, (address, channel));
                at
            }
        };
        Ok(channels[at].1.clone())
    }
}
