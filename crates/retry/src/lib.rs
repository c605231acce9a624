//! Retry budgets, hedged requests, progress timeouts and requests suspected of crashing servers.
//!
//! - [`Budget`] limits retries to a share of first attempts, per stage and client account.
//! - [`Hedge`] starts a second attempt of an idempotent call that takes unusually long.
//! - [`timeout`] derives the timeouts of an attempt from the latencies measured at its pool.
//! - [`Crashes`] counts the servers that a request content has crashed.
//! - [`Parts`] tells which parts of prompts crash servers, whatever else the requests hold.
//! - [`Window`] limits retries to a share of the requests in a sliding window, summed over instances.
//! - [`Registry`] tracks contents that were in flight when backend servers died, and keeps them
//!   from crashing more servers: a suspect content only runs alone, with a permit of the [`Arbiter`].

pub mod arbiter;
pub mod budget;
pub mod configs;
pub mod crash;
pub mod hedge;
pub mod histogram;
pub mod parts;
pub mod suspect;
pub mod timeout;
pub mod window;

pub use self::{
    arbiter::Arbiter, budget::Budget, crash::Crashes, hedge::Hedge, histogram::Histogram,
    parts::Parts, suspect::Registry, timeout::Timeouts, window::Window,
};
