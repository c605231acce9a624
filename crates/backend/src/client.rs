//! The client of all backend servers.

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

/// A client of all backend servers; clones share their connections.
#[derive(Clone)]
pub struct Client {
    pub(crate) config: Rc<Config>,
    connections: Rc<RefCell<Vec<Connection>>>,
}

impl Client {
    /// Returns a client; connections are opened as they are needed.
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

    /// Returns the number of servers that were called.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Tells whether no server was called yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets the connections to servers that are not in a sorted list of addresses.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        self.connections
            .borrow_mut()
            .retain(|connection| addresses.binary_search(&connection.address).is_ok());
    }

    /// Makes a call and returns the whole answer.
    ///
    /// # Errors
    ///
    /// [`Failure::may_have_run`] tells whether the server may have run the call.
    pub async fn call(&self, call: &Call) -> Result<Reply, Failure> {
        let mut response = self.send("/v1/call", call).await?;
        let leaving = head::leaving(response.headers());
        let server = head::server(response.headers());
        let body = response
            .json::<Answer>()
            .limit(self.config.max_answer_bytes);
        let answer = match time::timeout(call.part_timeout, body).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => return Err(Failure::Disconnected),
            Err(_) => return Err(self.silent(call.address, call.idempotent)),
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

    /// Makes a call whose answer is a stream of tokens, and returns the running stream.
    ///
    /// # Errors
    ///
    /// As for [`Client::call`], up to the head of the answer; later ones come from the stream.
    pub async fn stream(&self, call: &Call) -> Result<Stream, Failure> {
        let response = self.send("/v1/generate", call).await?;
        Ok(Stream::new(self.clone(), call, response))
    }

    /// Takes note that a connection went silent, so that its siblings are not used again.
    pub(crate) fn silent(&self, address: SocketAddr, idempotent: bool) -> Failure {
        let mut connections = self.connections.borrow_mut();
        let fresh = match position(&connections, address) {
            Ok(at) if idempotent => connections[at].renew(&self.config),
            _ => true,
        };
        Failure::TimedOut {
            new_connection: fresh,
        }
    }

    fn prove(&self, address: SocketAddr) {
        let mut connections = self.connections.borrow_mut();
        if let Ok(at) = position(&connections, address) {
            connections[at].prove();
        }
    }

    async fn send(&self, path: &str, call: &Call) -> Result<ClientResponse, Failure> {
        let client = self.connection(call.address, call.idempotent);
        let url = format!("http://{}{path}", call.address);
        let request = head::write(client.post(url), call);
        let sending = request.send_json(&Body::of(call));
        let limit = call.head_timeout.min(call.time_left);
        let response = match time::timeout(limit, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(head::failure(&error)),
            Err(_) => return Err(self.silent(call.address, call.idempotent)),
        };
        if let Some(failure) = head::refusal(response.status(), response.headers()) {
            return Err(failure);
        }
        if !head::matches(response.headers(), &call.attempt) {
            return Err(Failure::Mismatched);
        }
        if call.idempotent {
            self.prove(call.address);
        }
        Ok(response)
    }

    pub(crate) fn connection(&self, address: SocketAddr, idempotent: bool) -> awc::Client {
        let mut connections = self.connections.borrow_mut();
        let at = position(&connections, address).unwrap_or_else(|at| {
            connections.insert(at, Connection::open(address, &self.config));
            at
        });
        connections[at].client(idempotent).clone()
    }
}

fn position(connections: &[Connection], address: SocketAddr) -> Result<usize, usize> {
    connections.binary_search_by_key(&address, |connection| connection.address)
}
