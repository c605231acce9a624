//! Compares decisions under load and faults with plain baselines in virtual time.
//!
//! Every policy runs the same seeded trace over small fakes of the pools. A fake has a queue, a
//! service-time distribution, a batch limit, a prefix cache, delayed load reports and faults. It
//! doesn't model a whole cluster.

mod agent;
pub mod bound;
mod call;
mod fake;
pub mod policy;
pub mod simulation;
pub mod size;
pub mod tally;
pub mod trace;

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
    simulation::Simulation::new(size, trace, policy, seed).run()
}
