//! Configuration of the roster.

pub mod roster;
