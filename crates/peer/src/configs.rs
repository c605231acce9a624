//! Configuration of the calls between instances.

pub mod peer;
