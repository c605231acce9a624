//! The interface that an instance implements.

use std::sync::Arc;

use base::{Digest, Name, Stamp, request::Id};
use bundle::{Bundle, Position};
use platform::Log;

use crate::view::{Demand, InFlight, Server, Suspect};

/// Access to the state of an instance.
pub trait Service: 'static {
    /// The platform's log.
    type Log: Log;

    /// Returns the bundle in force at this instance.
    fn bundle(&self) -> Option<Arc<Bundle>>;

    /// Returns the time since the configuration log was last read to its end.
    fn bundle_age_ms(&self) -> Option<u64>;

    /// Returns the failure domain of the instance.
    fn domain(&self) -> Name;

    /// Returns a new request id.
    fn new_request_id(&self) -> Id;

    /// Returns the work in flight at this instance.
    fn in_flight(&self) -> InFlight;

    /// Returns the name and the start time of the instance.
    fn instance(&self) -> Name;

    /// Returns the platform's log.
    fn log(&self) -> &Self::Log;

    /// Returns the wall-clock time.
    fn now(&self) -> Stamp;

    /// Returns the position of the bundle in force at this instance.
    fn position(&self) -> Option<Position>;

    /// Returns the root keys, which the signers of the first bundle must have.
    fn root_keys(&self) -> Vec<Digest>;

    /// Returns the backend servers known to this instance.
    fn servers(&self) -> Vec<Server>;

    /// Returns the client accounts' demand that the other instances reported.
    fn demands(&self) -> Vec<Demand>;

    /// Returns the request contents suspected of crashing backend servers.
    fn suspects(&self) -> Vec<Suspect>;
}
