//! Configuration of the edges between instances.

pub mod peer;
