//! Membership and task ownership among the instances of a deployment.
//!
//! [`Members`] tracks which other instances answer, and returns the owner of a task, such as scheduling the
//! calls of a pool. Views may differ: two instances may both own a task for a while, which makes calls less full
//! and has no other effect.
//!
//! In a small deployment every instance sends heartbeats to every other one, and a task has one owner in the whole
//! deployment. A larger deployment is divided into cells, one per failure domain: each cell has its own owners,
//! which are its instances with the highest capacity, and an instance sends heartbeats only to those that it relies
//! on. One instance of a cell reads the platform's records ([`Reader`]), and the others copy its [`Replica`]s.
//!
//! [`Origins`] remembers which software began streams, so that they go on at the same one.

pub mod configs;
pub mod departures;
pub mod members;
pub mod origins;
pub mod reader;
pub mod rendezvous;
pub mod replica;

pub use self::{
    configs::Config,
    departures::{Departure, Departures},
    members::{Members, Owner, Peer},
    origins::{Origin, Origins},
    reader::Reader,
    replica::{Changes, Position, Record, Replica, Update},
};
