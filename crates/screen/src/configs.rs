//! Configuration of screens.

pub mod screen;
