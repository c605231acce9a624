//! HTTP client of the platform's services.

use core::{cell::RefCell, time::Duration};
use std::{io, rc::Rc};

use awc::{
    Client,
    error::{ConnectError, SendRequestError},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    list::Instance,
    log::{Error, Log, Page},
};

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A client of the platform's services; clones share the connections.
///
/// When a call times out, its connection and all idle ones are closed, since a fault that broke one connection
/// may have broken the others as well.
#[derive(Clone)]
pub struct Http {
    base_url: String,
    client: Rc<RefCell<Client>>,
    timeout: Duration,
}

#[derive(Serialize)]
struct Append {
    body: String,
}

#[derive(serde::Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(serde::Deserialize)]
struct Listing {
    instances: Vec<Instance>,
}

impl Http {
    /// Returns a client of the platform at a base URL, with a timeout for each call.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use core::time::Duration;
    /// # async fn run() -> Result<(), platform::log::Error> {
    /// use platform::Log as _;
    /// let platform = platform::Http::open("http://127.0.0.1:9000", Duration::from_secs(1));
    /// let page = platform.read("config", 0, 100).await?;
    /// # Ok(()) }
    /// ```
    pub fn open(base_url: &str, timeout: Duration) -> Self {
        Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
            client: Rc::new(RefCell::new(client(timeout))),
            timeout,
        }
    }

    /// Reads the platform's list of instances.
    ///
    /// # Errors
    ///
    /// After an error, nothing is known about the contents of the list.
    pub async fn instances(&self) -> Result<Vec<Instance>, Error> {
        let listing: Listing = self.get(&format!("{}/instances", self.base_url)).await?;
        Ok(listing.instances)
    }

    async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, Error> {
        let request = self.client().get(url).send();
        let mut response = self.with_timeout(request).await?;
        if !response.status().is_success() {
            return Err(Error::Refused(response.status().to_string()));
        }
        self.with_timeout(response.json().limit(MAX_ANSWER_BYTES))
            .await
    }

    /// Applies the timeout to one step of a call, since the server can stall between head and body.
    async fn with_timeout<T, E: core::fmt::Display>(
        &self,
        step: impl Future<Output = Result<T, E>>,
    ) -> Result<T, Error> {
        match tokio::time::timeout(self.timeout, step).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => Err(Error::Unanswered(error.to_string())),
            Err(_) => Err(self.reset_connections()),
        }
    }

    fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    /// Closes all connections after a timeout.
    fn reset_connections(&self) -> Error {
        self.client.replace(client(self.timeout));
        Error::Unanswered(format!("no answer within {} ms", self.timeout.as_millis()))
    }
}

fn client(timeout: Duration) -> Client {
    // A redirect would send an append twice.
    Client::builder()
        .disable_redirects()
        .timeout(timeout)
        .finish()
}

impl Log for Http {
    async fn append(&self, stream: &str, body: String) -> Result<u64, Error> {
        let url = format!("{}/log/{stream}", self.base_url);
        let sent = self.client().post(url).send_json(&Append { body });
        let mut response = match tokio::time::timeout(self.timeout, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendRequestError::Connect(ConnectError::Io(error))))
                if error.kind() == io::ErrorKind::ConnectionRefused =>
            {
                return Err(Error::Refused(error.to_string()));
            }
            Ok(Err(SendRequestError::Timeout)) => return Err(self.reset_connections()),
            Ok(Err(error)) => return Err(Error::Unanswered(error.to_string())),
            Err(_) => return Err(self.reset_connections()),
        };
        match response.status().as_u16() {
            200 => {
                let appended: Appended = self.with_timeout(response.json()).await?;
                Ok(appended.offset)
            }
            // The service guarantees that calls with these statuses had no effect.
            429 | 503 => Err(Error::Refused(response.status().to_string())),
            _ => Err(Error::Unanswered(response.status().to_string())),
        }
    }

    async fn read(&self, stream: &str, from: u64, limit: usize) -> Result<Page, Error> {
        self.get(&format!(
            "{}/log/{stream}?from={from}&limit={limit}",
            self.base_url
        ))
        .await
    }
}
