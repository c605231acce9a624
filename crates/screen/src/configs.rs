//! Settings of screens.

pub mod screen;
