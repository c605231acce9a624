//! The client of backend servers.

use core::{cell::RefCell, net::SocketAddr};
use std::rc::Rc;

use awc::ClientResponse;
use base::attempt::Attempt;
use flow::Failure;
use tokio::time;

use crate::{
    Call, Config, Reply,
    call::{Answer, Body},
    connection::Connection,
    head,
    stream::Stream,
};

/// A client of backend servers; clones share the connections.
#[derive(Clone)]
pub struct Client {
    pub(crate) config: Rc<Config>,
    connections: Rc<RefCell<Vec<Connection>>>,
}

impl Client {
    /// Returns a client. Connections are opened when they are needed.
    ///
    /// # Examples
    ///
    /// ```
    /// let client = backend::Client::open(backend::Config::default());
    /// assert_eq!(client.len(), 0);
    /// ```
    pub fn open(config: Config) -> Self {
        Self {
            config: Rc::new(config),
            connections: Rc::default(),
        }
    }

    /// Returns the number of servers to which the client holds connections.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns whether the client holds no connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the connections to all servers that are not in a sorted list of addresses.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        self.connections
            .borrow_mut()
            .retain(|connection| addresses.binary_search(&connection.address).is_ok());
    }

    /// Makes a call and returns the complete answer.
    ///
    /// # Errors
    ///
    /// [`Failure::may_have_run`] returns whether the server may have run the call.
    pub async fn call(&self, call: &Call) -> Result<Reply, Failure> {
        let mut response = self.send("/v1/call", call).await?;
        let leaving = head::is_leaving(response.headers());
        let server = head::server(response.headers());
        let body = response
            .json::<Answer>()
            .limit(self.config.max_answer_bytes);
        let answer = match time::timeout(call.part_timeout, body).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => return Err(Failure::Disconnected),
            Err(_) => return Err(self.record_timeout(call.address, call.idempotent)),
        };
        if Attempt::parse(&answer.attempt) != Some(call.attempt) {
            return Err(Failure::Mismatched);
        }
        Ok(Reply {
            output: answer.output,
            cost_ms: answer.cost_ms,
            leaving,
            server,
        })
    }

    /// Makes a call whose answer is a stream of tokens, and returns the stream once its head has arrived.
    ///
    /// # Errors
    ///
    /// As for [`Client::call`], until the head of the answer has arrived. The stream returns later errors.
    pub async fn stream(&self, call: &Call) -> Result<Stream, Failure> {
        let response = self.send("/v1/generate", call).await?;
        Ok(Stream::new(self.clone(), call, response))
    }

    /// Records that a connection timed out, so that the other connections to the server are not used again, and
    /// returns the failure of the call.
    pub(crate) fn record_timeout(&self, address: SocketAddr, idempotent: bool) -> Failure {
        let mut connections = self.connections.borrow_mut();
        let fresh = match position(&connections, address) {
            Ok(index) if idempotent => connections[index].replace_shared(&self.config),
            _ => true,
        };
        Failure::TimedOut {
            new_connection: fresh,
        }
    }

    /// Records that an answer arrived over a shared connection.
    fn record_answer(&self, address: SocketAddr) {
        let mut connections = self.connections.borrow_mut();
        if let Ok(index) = position(&connections, address) {
            connections[index].record_answer();
        }
    }

    /// Sends a call and returns its answer once the head has arrived and shows neither a refusal nor another attempt.
    async fn send(&self, path: &str, call: &Call) -> Result<ClientResponse, Failure> {
        let client = self.connection(call.address, call.idempotent);
        let url = format!("http://{}{path}", call.address);
        let request = head::add_headers(client.post(url), call);
        let sending = request.send_json(&Body::new(call));
        let timeout = call.head_timeout.min(call.time_left);
        let response = match time::timeout(timeout, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(head::to_failure(&error)),
            Err(_) => return Err(self.record_timeout(call.address, call.idempotent)),
        };
        if !head::is_answer_to(response.headers(), &call.attempt) {
            return Err(Failure::Mismatched);
        }
        if let Some(failure) = head::refusal(response.status(), response.headers()) {
            return Err(failure);
        }
        if call.idempotent {
            self.record_answer(call.address);
        }
        Ok(response)
    }

    /// Returns the HTTP client for a call to a server.
    pub(crate) fn connection(&self, address: SocketAddr, idempotent: bool) -> awc::Client {
        let mut connections = self.connections.borrow_mut();
        let index = position(&connections, address).unwrap_or_else(|index| {
            connections.insert(index, Connection::open(address, &self.config));
            index
        });
        connections[index].client(idempotent).clone()
    }
}

fn position(connections: &[Connection], address: SocketAddr) -> Result<usize, usize> {
    connections.binary_search_by_key(&address, |connection| connection.address)
}
