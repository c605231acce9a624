//! Numbered views that look the same on every screen.
//!
//! [`Screen`] keeps the summaries that failure domains seal once in a period, and gives a [`View`] of
//! one period. The number of a view ends in the digest of what it shows, so two screens with the
//! same number show the same thing, wherever they are and whatever they have heard.

mod body;
pub mod configs;
pub mod page;
pub mod view;

pub use self::view::{Number, Screen, View};
