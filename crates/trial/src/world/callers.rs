//! Callers: they submit, and come back when told to.

use base::Code;
use rand::RngExt;

use super::{CALLER_HOP, Event, SILENCE, World};

/// Submissions that a caller makes of one request.
const SUBMISSIONS: u32 = 4;
/// Submissions that the caller of a harmful request makes.
const SUBMISSIONS_HARMFUL: u32 = 10;
/// Time before the deadline when a caller no longer comes back, in microseconds.
const TOO_LATE: u64 = 100_000;

impl World<'_> {
    pub(super) fn submit(&mut self, job: usize) {
        let instance = self.rng.random_range(0..self.agents.len());
        if !self.agents[instance].up {
            return self.submit_elsewhere(job);
        }
        self.jobs[job].submissions += 1;
        self.after(CALLER_HOP, Event::Offer { job, instance });
    }

    /// The balancer sends a caller on when it finds an instance dead.
    fn submit_elsewhere(&mut self, job: usize) {
        let alive: Vec<usize> = (0..self.agents.len())
            .filter(|at| self.agents[*at].up)
            .collect();
        if alive.is_empty() {
            return;
        }
        let instance = alive[self.rng.random_range(0..alive.len())];
        self.jobs[job].submissions += 1;
        self.after(2 * CALLER_HOP, Event::Offer { job, instance });
    }

    /// A caller is refused, and told when to come back or not.
    pub(super) fn refused(&mut self, job: usize, code: Code, retry_after: Option<u64>) {
        self.jobs[job].code = Some(code);
        if !code.is_retryable() {
            return;
        }
        let wait = retry_after.unwrap_or_else(|| self.rng.random_range(200_000..1_000_000));
        self.come_back(job, wait + CALLER_HOP);
    }

    /// A caller's connection breaks with its instance.
    pub(super) fn abandoned(&mut self, job: usize) {
        self.come_back(job, SILENCE);
    }

    fn come_back(&mut self, job: usize, wait: u64) {
        let request = &self.trace.requests[job];
        let most = if request.poison {
            SUBMISSIONS_HARMFUL
        } else {
            SUBMISSIONS
        };
        let in_time = self.now + wait + TOO_LATE < request.deadline;
        if in_time && self.jobs[job].submissions < most && !self.jobs[job].answered {
            self.after(wait, Event::Submit { job });
        }
    }
}
