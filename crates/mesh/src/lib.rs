//! Membership and task ownership among the instances of a deployment.
//!
//! [`Members`] tracks which other instances answer, and returns the owner of a task, such as scheduling the
//! calls of a pool. Views may differ: two instances may both own a task for a while, which makes calls less full
//! and has no other effect.
//!
//! In a small deployment every instance sends heartbeats to every other one, and a task has one owner in the whole
//! deployment. A larger deployment is divided into cells, one per failure domain: each cell has its own owners,
//! which are its instances with the highest capacity, and an instance sends heartbeats only to those that it relies
//! on. One instance of a cell reads the platform's records, and the others follow it by [`History`].

pub mod configs;
pub mod history;
pub mod members;

pub use self::{
    configs::Config,
    history::History,
    members::{Members, Owner, Peer},
};
