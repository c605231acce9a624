//! Numbered views that look the same on every screen.
//!
//! [`Screen`] keeps the summaries that failure domains seal once per period, and renders a [`View`] of
//! one period. The number of a view includes a digest of its content, so two screens with the same
//! number show the same content, whichever instances serve them.

mod body;
pub mod configs;
pub mod page;
pub mod view;

pub use self::view::{Number, Screen, View};
