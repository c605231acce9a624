//! The port behind which an instance plugs in.

use std::sync::Arc;

use base::{Digest, Name, Stamp, request::Id};
use bundle::{Bundle, Position};
use platform::Log;

use crate::view::{Demand, InFlight, Server, Suspect};

/// What an instance knows.
pub trait Service: 'static {
    /// The platform's log.
    type Log: Log;

    /// Returns the bundle in force here.
    fn bundle(&self) -> Option<Arc<Bundle>>;

    /// Returns the time since the log's configuration was last read to its end.
    fn bundle_age_ms(&self) -> Option<u64>;

    /// Returns the failure domain of the instance.
    fn domain(&self) -> Name;

    /// Returns a new request id.
    fn new_request_id(&self) -> Id;

    /// Returns what is in flight here.
    fn in_flight(&self) -> InFlight;

    /// Returns the name and the start of the instance.
    fn instance(&self) -> Name;

    /// Returns the platform's log.
    fn log(&self) -> &Self::Log;

    /// Returns the wall-clock time.
    fn now(&self) -> Stamp;

    /// Returns the place in the log of the bundle in force here.
    fn position(&self) -> Option<Position>;

    /// Returns the keys that the first bundle's signers must be among.
    fn root_keys(&self) -> Vec<Digest>;

    /// Returns the backend servers known here.
    fn servers(&self) -> Vec<Server>;

    /// Returns what the other instances told of the client accounts' demand.
    fn demands(&self) -> Vec<Demand>;

    /// Returns the contents that are suspected of crashing backend servers.
    fn suspects(&self) -> Vec<Suspect>;
}
