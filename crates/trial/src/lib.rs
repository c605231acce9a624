//! Decisions under load and faults, compared with plain baselines in virtual time.
//!
//! Every policy runs the same seeded trace over small fakes of the pools. The fakes know a queue,
//! a service-time law, a batch limit, a prefix cache, lagging load reports and faults; they are
//! no cluster simulator.

mod agent;
pub mod bound;
mod call;
mod fake;
pub mod policy;
pub mod size;
pub mod tally;
pub mod trace;
pub mod world;

pub use self::{policy::Policy, size::Size, tally::Tally, trace::Trace};

/// Runs a policy over a trace.
///
/// # Examples
///
/// ```
/// use trial::{Policy, Size, Trace, trace::Kind};
/// let size = Size::compas();
/// let trace = Trace::new(&size, Kind::Steady, 1, 2.0);
/// let tally = trial::run(&size, &trace, Policy::ours(), 1);
/// assert!(tally.attainment() > 0.9);
/// ```
pub fn run(size: &Size, trace: &Trace, policy: Policy, seed: u64) -> Tally {
    world::World::new(size, trace, policy, seed).run()
}
