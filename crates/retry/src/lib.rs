//! Retry budgets, hedges, progress limits and suspect requests.
//!
//! - [`Budget`] bounds further attempts by a share of first attempts, per stage and client account.
//! - [`Hedge`] starts one more attempt of an idempotent call that takes unusually long.
//! - [`silence`] derives the limits on an attempt's progress from what the server usually does.
//! - [`Crashes`] counts the servers that a content crashed.
//! - [`Window`] bounds repeats by a share of the requests in a span, summed over instances.
//! - [`Register`] keeps contents that were in flight when backend servers died from crashing more.

pub mod budget;
pub mod configs;
pub mod crash;
pub mod desk;
pub mod hedge;
pub mod silence;
pub mod suspect;
pub mod usual;
pub mod window;

pub use self::{
    budget::Budget, crash::Crashes, desk::Desk, hedge::Hedge, silence::Silence, suspect::Register,
    usual::Usual, window::Window,
};
