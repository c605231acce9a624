//! The platform's services over HTTP.

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

/// The largest answer read, in bytes.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A client of the platform's services; clones share their connections.
///
/// A call that gets no answer in time closes its connection and gives up the idle ones too, since
/// whatever lost track of the one may have lost track of its siblings.
#[derive(Clone)]
pub struct Http {
    base: String,
    client: Rc<RefCell<Client>>,
    limit: Duration,
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
    /// Returns a client of the platform at a base URL, with a time limit for each call.
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
    pub fn open(base: &str, limit: Duration) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client: Rc::new(RefCell::new(client(limit))),
            limit,
        }
    }

    /// Reads the platform's list of instances.
    ///
    /// # Errors
    ///
    /// Any error means that nothing was learnt.
    pub async fn instances(&self) -> Result<Vec<Instance>, Error> {
        let listing: Listing = self.get(&format!("{}/instances", self.base)).await?;
        Ok(listing.instances)
    }

    async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, Error> {
        let request = self.client().get(url).send();
        let mut response = self.within(request).await?;
        if !response.status().is_success() {
            return Err(Error::Refused(response.status().to_string()));
        }
        self.within(response.json().limit(ANSWER_BYTES)).await
    }

    /// Bounds a whole step, since a silent peer can stall a body after its head arrived.
    async fn within<T, E: core::fmt::Display>(
        &self,
        step: impl Future<Output = Result<T, E>>,
    ) -> Result<T, Error> {
        match tokio::time::timeout(self.limit, step).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => Err(Error::Unanswered(error.to_string())),
            Err(_) => Err(self.silent()),
        }
    }

    fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    fn silent(&self) -> Error {
        self.client.replace(client(self.limit));
        Error::Unanswered(format!("nothing within {} ms", self.limit.as_millis()))
    }
}

fn client(limit: Duration) -> Client {
    // A redirect would send an append twice.
    Client::builder()
        .disable_redirects()
        .timeout(limit)
        .finish()
}

impl Log for Http {
    async fn append(&self, stream: &str, body: String) -> Result<u64, Error> {
        let url = format!("{}/log/{stream}", self.base);
        let sent = self.client().post(url).send_json(&Append { body });
        let mut response = match tokio::time::timeout(self.limit, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendRequestError::Connect(ConnectError::Io(error))))
                if error.kind() == io::ErrorKind::ConnectionRefused =>
            {
                return Err(Error::Refused(error.to_string()));
            }
            Ok(Err(SendRequestError::Timeout)) => return Err(self.silent()),
            Ok(Err(error)) => return Err(Error::Unanswered(error.to_string())),
            Err(_) => return Err(self.silent()),
        };
        match response.status().as_u16() {
            200 => {
                let appended: Appended = self.within(response.json()).await?;
                Ok(appended.offset)
            }
            // The service states that these two have no effect.
            429 | 503 => Err(Error::Refused(response.status().to_string())),
            _ => Err(Error::Unanswered(response.status().to_string())),
        }
    }

    async fn read(&self, stream: &str, from: u64, limit: usize) -> Result<Page, Error> {
        self.get(&format!(
            "{}/log/{stream}?from={from}&limit={limit}",
            self.base
        ))
        .await
    }
}
