//! Faults: lost and repeated messages, failing log calls, pauses and restarts.

use ledger::{
    claim,
    owner::{self, Verdict},
    record::Record,
};

use super::{Message, Request, Simulation, instance::Instance};

impl Simulation {
    pub(super) fn abandon(&mut self, index: usize, rest: usize) {
        let instance = &self.instances[index];
        if instance.is_paused || instance.claims.is_empty() {
            return;
        }
        let at = rest % instance.claims.len();
        self.drive_claim(index, at, claim::Event::Abandon(base::Code::DeadlinePassed));
    }

    pub(super) fn fail_call(&mut self, index: usize, rest: usize) {
        let Some(at) = self.choose_active_call(index, rest) else {
            return;
        };
        let driver = &mut self.instances[index].claims[at];
        let written = core::mem::take(&mut driver.is_called);
        driver.is_prepared = false;
        if written && driver.answer.is_none() && rest.is_multiple_of(4) {
            // The call turns out not to have run, and is prepared again.
            driver.is_prepared = true;
            self.oracle.revoke_call(driver);
            self.drive_claim(index, at, claim::Event::CallRefused);
            return;
        }
        let code = base::Code::StageUnavailable;
        self.drive_claim(index, at, claim::Event::CallFailed { written, code });
    }

    pub(super) fn lose_message(&mut self, pick: usize) {
        if !self.network.is_empty() {
            self.network.swap_remove(pick % self.network.len());
        }
    }

    /// Duplicates a message. A claim duplicated by the network may win without a claimant, which is
    /// safe but keeps its slot held; this is why the transport must not resend messages.
    pub(super) fn duplicate(&mut self, pick: usize) {
        if self.network.is_empty() {
            return;
        }
        let copy = self.network[pick % self.network.len()].clone();
        if let (
            _,
            Message::Request {
                request: Request::Record(record @ Record::Claim { .. }),
                ..
            },
        ) = &copy
        {
            self.oracle.mark_orphaned(record.slot());
        }
        self.network.push(copy);
    }

    pub(super) fn fail_log(&mut self, index: usize, rest: usize) {
        if self.instances[index].is_paused {
            return;
        }
        if rest % 5 == 4 {
            if self.instances[index].read.take().is_some() {
                self.drive_owner(index, owner::Event::ReadFailed);
            }
            return;
        }
        let Some(body) = self.instances[index].append.take() else {
            return;
        };
        if rest.is_multiple_of(5) {
            self.drive_owner(index, owner::Event::AppendRefused);
            return;
        }
        self.counts.lost_answers += 1;
        match rest % 5 {
            1 => drop(self.log.append(body, self.time)),
            2 => self.log.delay(body),
            _ => {
                self.log.append(body.clone(), self.time);
                self.log.delay(body);
            }
        }
        self.drive_owner(index, owner::Event::AppendUnanswered);
    }

    pub(super) fn resume(&mut self, index: usize) {
        self.instances[index].is_paused = false;
    }

    pub(super) fn pause(&mut self, index: usize, rest: usize) {
        self.instances[index].is_paused = rest.is_multiple_of(2);
        self.counts.pauses += u64::from(self.instances[index].is_paused);
    }

    /// Replaces an instance; the new one starts from a peer's snapshot or from the log.
    pub(super) fn restart(&mut self, index: usize, rest: usize) {
        self.counts.restarts += 1;
        let peer = rest % (2 * self.instances.len());
        let peer = self.instances.get(peer).filter(|peer| !peer.is_paused);
        let snapshot = peer.and_then(|peer| peer.owner.snapshot());
        let owner = self.owner(snapshot);
        let old = &mut self.instances[index];
        if let Some(body) = old.append.take() {
            self.log.delay(body);
        }
        for driver in &old.claims {
            self.oracle.record_loss(driver);
        }
        let mut fresh = Instance::new(owner, old.clock_error);
        fresh.generation = old.generation + 1;
        *old = fresh;
    }

    pub(super) fn time_out(&mut self, index: usize, rest: usize) {
        let instance = &self.instances[index];
        let requests: Vec<u64> = instance.requests();
        if instance.is_paused || requests.is_empty() {
            return;
        }
        let id = requests[rest % requests.len()];
        if !(rest / requests.len()).is_multiple_of(2) {
            self.reply(index, id, Verdict::UNANSWERED);
        } else if let Some((at, pending)) = self.instances[index].take_request(id) {
            // A claimant without an answer from one owner may ask another, or become an owner.
            self.send_to(index, at, pending.request, true);
        }
    }
}
