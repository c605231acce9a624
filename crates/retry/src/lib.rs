//! Retry budgets, hedges, progress limits and suspect requests.
//!
//! - [`Budget`] bounds further attempts by a share of first attempts, per stage and client account.
//! - [`Hedge`] starts one more attempt of an idempotent call that takes unusually long.
//! - [`silence`] derives the limits on an attempt's progress from what the server usually does.
//! - [`Register`] keeps contents that were in flight when backend servers died from crashing more.

pub mod budget;
pub mod configs;
pub mod desk;
pub mod hedge;
pub mod silence;
pub mod suspect;
pub mod usual;

pub use self::{
    budget::Budget, desk::Desk, hedge::Hedge, silence::Silence, suspect::Register, usual::Usual,
};
