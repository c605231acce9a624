//! Retry budgets, hedges, progress limits and suspect requests.
//!
//! - [`Budget`] bounds further attempts by a share of first attempts, per stage and client account.
//! - [`Hedge`] starts one more attempt of an idempotent call that takes unusually long.
//! - [`timeout`] derives the limits on an attempt's progress from what the server usually does.
//! - [`Crashes`] counts the servers that a content crashed.
//! - [`Window`] bounds repeats by a share of the requests in a span, summed over instances.
//! - [`Registry`] keeps contents that were in flight when backend servers died from crashing more.

pub mod arbiter;
pub mod budget;
pub mod configs;
pub mod crash;
pub mod hedge;
pub mod histogram;
pub mod suspect;
pub mod timeout;
pub mod window;

pub use self::{
    arbiter::Arbiter, budget::Budget, crash::Crashes, hedge::Hedge, histogram::Histogram,
    suspect::Registry, timeout::Timeouts, window::Window,
};
