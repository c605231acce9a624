//! What goes wrong.

use ledger::{
    claim,
    owner::{self, Verdict},
    record::Record,
};

use super::{Ask, Message, World, instance::Instance};

impl World {
    pub(super) fn give_up(&mut self, index: usize, rest: usize) {
        let instance = &self.instances[index];
        if instance.is_paused || instance.claims.is_empty() {
            return;
        }
        let at = rest % instance.claims.len();
        self.drive(index, at, claim::Event::Abandon(base::Code::DeadlinePassed));
    }

    pub(super) fn fault_call(&mut self, index: usize, rest: usize) {
        let Some(at) = self.choose(index, rest) else {
            return;
        };
        let driver = &mut self.instances[index].claims[at];
        let written = core::mem::take(&mut driver.is_called);
        driver.is_prepared = false;
        if written && driver.answer.is_none() && rest.is_multiple_of(4) {
            // The call turns out not to have run, and is prepared again.
            driver.is_prepared = true;
            self.judge.take_back(driver);
            self.drive(index, at, claim::Event::CallRefused);
            return;
        }
        let code = base::Code::StageUnavailable;
        self.drive(index, at, claim::Event::CallFailed { written, code });
    }

    pub(super) fn lose(&mut self, pick: usize) {
        if !self.wire.is_empty() {
            self.wire.swap_remove(pick % self.wire.len());
        }
    }

    /// Doubles a message. A claim doubled by the network may win for nobody, which is safe, but
    /// its slot stays held; the transport is not to resend it.
    pub(super) fn double(&mut self, pick: usize) {
        if self.wire.is_empty() {
            return;
        }
        let copy = self.wire[pick % self.wire.len()].clone();
        if let (
            _,
            Message::Ask {
                ask: Ask::Record(record @ Record::Claim { .. }),
                ..
            },
        ) = &copy
        {
            self.judge.orphan(record.slot());
        }
        self.wire.push(copy);
    }

    pub(super) fn fault_log(&mut self, index: usize, rest: usize) {
        if self.instances[index].is_paused {
            return;
        }
        if rest % 5 == 4 {
            if self.instances[index].read.take().is_some() {
                self.own(index, owner::Event::ReadFailed);
            }
            return;
        }
        let Some(body) = self.instances[index].append.take() else {
            return;
        };
        if rest.is_multiple_of(5) {
            self.own(index, owner::Event::AppendRefused);
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
        self.own(index, owner::Event::AppendUnanswered);
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
            self.judge.lose(driver);
        }
        let mut fresh = Instance::open(owner, old.clock_error);
        fresh.life = old.life + 1;
        *old = fresh;
    }

    pub(super) fn time_out(&mut self, index: usize, rest: usize) {
        let instance = &self.instances[index];
        let asks: Vec<u64> = instance.asks();
        if instance.is_paused || asks.is_empty() {
            return;
        }
        let id = asks[rest % asks.len()];
        if !(rest / asks.len()).is_multiple_of(2) {
            self.reply(index, id, Verdict::UNANSWERED);
        } else if let Some((at, pending)) = self.instances[index].take_ask(id) {
            // Whoever gets no answer from one owner may ask another, or become one.
            self.send_to(index, at, pending.ask, true);
        }
    }
}
