//! The instances that serve together.
//!
//! [`Members`] knows which other instances answer, and names the one that holds a task, such as feeding a
//! pool. Views may differ: two instances may both hold a task for a while, which costs calls that are less
//! full and nothing else.
//!
//! In a small deployment every instance sends pulses to every other one, and tasks are held for the whole
//! deployment. A larger one is divided into cells, one a failure domain: tasks are held in each cell by its
//! strongest instances, and an instance sends pulses only to those that it relies on. One of them reads the
//! platform's records for the others, which follow it by [`History`].

pub mod configs;
pub mod history;
pub mod members;

pub use self::{
    configs::Config,
    history::History,
    members::{Members, Owner, Peer},
};
