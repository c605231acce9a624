//! Callers submit requests and resubmit refused ones after the given delay.

use base::Code;
use rand::RngExt;

use super::{ATTEMPT_TIMEOUT_MICROS, CALLER_HOP_MICROS, Event, Simulation};

/// How often a caller submits one request at most.
const MAX_SUBMISSIONS: u32 = 4;
/// How often the caller of a harmful request submits it at most.
const MAX_HARMFUL_SUBMISSIONS: u32 = 10;
/// A caller doesn't resubmit when less than this is left until the deadline.
const MIN_TIME_LEFT_MICROS: u64 = 100_000;

impl Simulation<'_> {
    pub(super) fn submit(&mut self, job: usize) {
        let instance = self.rng.random_range(0..self.agents.len());
        if !self.agents[instance].up {
            return self.submit_elsewhere(job);
        }
        self.jobs[job].submissions += 1;
        self.schedule_after(CALLER_HOP_MICROS, Event::Arrive { job, instance });
    }

    /// Submits to another instance, as a load balancer does when an instance is down.
    fn submit_elsewhere(&mut self, job: usize) {
        let alive: Vec<usize> = (0..self.agents.len())
            .filter(|at| self.agents[*at].up)
            .collect();
        if alive.is_empty() {
            return;
        }
        let instance = alive[self.rng.random_range(0..alive.len())];
        self.jobs[job].submissions += 1;
        self.schedule_after(2 * CALLER_HOP_MICROS, Event::Arrive { job, instance });
    }

    /// Records a refusal and schedules a resubmission if the code allows one.
    pub(super) fn handle_refusal(&mut self, job: usize, code: Code, retry_after: Option<u64>) {
        self.jobs[job].code = Some(code);
        if !code.is_retryable() {
            return;
        }
        let wait = retry_after.unwrap_or_else(|| self.rng.random_range(200_000..1_000_000));
        self.schedule_resubmission(job, wait + CALLER_HOP_MICROS);
    }

    /// Schedules a resubmission after the caller lost the connection to its instance.
    pub(super) fn handle_disconnect(&mut self, job: usize) {
        self.schedule_resubmission(job, ATTEMPT_TIMEOUT_MICROS);
    }

    fn schedule_resubmission(&mut self, job: usize, wait: u64) {
        let request = &self.trace.requests[job];
        let most = if request.poison {
            MAX_HARMFUL_SUBMISSIONS
        } else {
            MAX_SUBMISSIONS
        };
        let in_time = self.now + wait + MIN_TIME_LEFT_MICROS < request.deadline;
        if in_time && self.jobs[job].submissions < most && !self.jobs[job].answered {
            self.schedule_after(wait, Event::Submit { job });
        }
    }
}
