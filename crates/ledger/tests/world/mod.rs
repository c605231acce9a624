//! A few instances, the log, the network and a service, driven step by step by numbers.
//!
//! The judge is the service: it counts the calls that were let go for each slot and body.

mod faults;
mod instance;
mod judge;
mod log;

use base::{Digest, Incarnation, Key, Stamp, Tick};
use ledger::{
    Now, claim, configs,
    owner::{self, Verdict},
    partition,
    record::Record,
    slot::{Nonce, Slot},
};

use self::{
    instance::{Driver, Instance, Pending, Read},
    judge::Judge,
    log::Log,
};

const SECOND: u64 = 1_000;
const START: u64 = 1_000 * SECOND;

/// What a claimant asks of an owner.
#[derive(Clone, Debug)]
pub(crate) enum Ask {
    Record(Record),
    Slot(Slot),
}

#[derive(Clone, Debug)]
enum Message {
    Ask { from: Address, id: u64, ask: Ask },
    Reply { id: u64, verdict: Verdict },
}

/// One life of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Address {
    index: usize,
    life: u64,
}

/// What is to be simulated.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) instances: usize,
    pub(crate) slots: usize,
    /// Whether time may jump so far that keys expire and records leave the log.
    pub(crate) expiry: bool,
}

/// Counts of what happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) steps: u64,
    pub(crate) attempts: u64,
    pub(crate) calls: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) in_progress: u64,
    pub(crate) lost_answers: u64,
    pub(crate) pauses: u64,
    pub(crate) restarts: u64,
}

pub(crate) struct World {
    pub(crate) counts: Counts,
    pub(crate) judge: Judge,
    setup: Setup,
    config: configs::Owner,
    time: u64,
    next: u64,
    log: Log,
    wire: Vec<(Address, Message)>,
    instances: Vec<Instance>,
    keys: Vec<Slot>,
}

impl World {
    pub(crate) fn open(setup: Setup) -> Self {
        let mut world = Self {
            counts: Counts::default(),
            judge: Judge::default(),
            config: config(),
            time: START,
            next: 0,
            log: Log::default(),
            wire: Vec::new(),
            instances: Vec::new(),
            keys: Vec::new(),
            setup,
        };
        for index in 0..world.setup.instances {
            let owner = world.owner(None);
            // The clocks of the instances differ by the allowed error.
            let error = [0, SECOND, 0][index % 3];
            world.instances.push(Instance::open(owner, error));
        }
        for _ in 0..world.setup.slots {
            let slot = world.issue();
            world.keys.push(slot);
        }
        world
    }

    fn owner(&self, snapshot: Option<ledger::projection::Snapshot>) -> owner::Owner {
        owner::Owner::new(self.config.clone(), 0, snapshot)
    }

    /// Issues a key whose slot falls into the partition that is simulated.
    fn issue(&mut self) -> Slot {
        loop {
            let key = Key::from_parts(Stamp::from_millis(self.time), self.fresh().into());
            let slot = Slot::new("adinkra", &key, "commission-ledger");
            if partition::for_slot(&slot) == 0 {
                return slot;
            }
        }
    }

    fn fresh(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn now(&self, index: usize) -> Now {
        let error = self.instances[index].clock_error;
        Now {
            tick: Tick::from_millis(self.time),
            wall: Stamp::from_millis(self.time + SECOND - error),
        }
    }

    fn address(&self, index: usize) -> Address {
        let life = self.instances[index].life;
        Address { index, life }
    }

    /// Does what a number says; most numbers move things on, the others are faults.
    pub(crate) fn step(&mut self, choice: u32) {
        self.counts.steps += 1;
        let pick = (choice >> 8) as usize;
        let index = pick % self.instances.len();
        let rest = pick / self.instances.len();
        match choice % 64 {
            0..=15 => self.deliver(pick),
            16..=27 => self.run(index),
            28..=33 => self.pass(rest as u64 % 40),
            34..=38 => self.start(index, rest),
            39..=45 => self.serve(index, rest),
            46 => self.give_up(index, rest),
            47..=48 => self.lose(pick),
            49 => self.double(pick),
            50..=53 => self.fault_log(index, rest),
            54 => drop(self.log.land_late(pick, self.time)),
            55 => self.fault_call(index, rest),
            56..=57 => self.resume(index),
            58 => self.pause(index, rest),
            59 if rest.is_multiple_of(8) => self.restart(index, rest / 8),
            60 => self.time_out(index, rest),
            61 if rest.is_multiple_of(8) => self.pass(SECOND),
            61 if self.setup.expiry && rest % 8 == 1 => self.pass(8 * SECOND),
            62 if self.setup.expiry => self.log.retire(self.time, &self.config.projection),
            63 => self.reissue(rest),
            _ => self.run(index),
        }
    }

    fn reissue(&mut self, rest: usize) {
        let at = rest % self.keys.len();
        self.keys[at] = self.issue();
    }

    fn pass(&mut self, millis: u64) {
        self.time += millis;
    }

    fn deliver(&mut self, pick: usize) {
        if self.wire.is_empty() {
            return;
        }
        let at = pick % self.wire.len();
        let (to, message) = self.wire[at].clone();
        if self.instances[to.index].is_paused {
            return;
        }
        self.wire.swap_remove(at);
        if to != self.address(to.index) {
            return;
        }
        match message {
            Message::Ask { from, id, ask } => self.ask(to.index, from, id, ask),
            Message::Reply { id, verdict } => self.reply(to.index, id, verdict),
        }
    }

    fn ask(&mut self, index: usize, from: Address, id: u64, ask: Ask) {
        let token = self.fresh();
        self.instances[index].tokens.push((token, from, id));
        let event = match ask {
            Ask::Record(record) => owner::Event::Submit { token, record },
            Ask::Slot(slot) => owner::Event::Lookup { token, slot },
        };
        self.own(index, event);
    }

    fn reply(&mut self, index: usize, id: u64, verdict: Verdict) {
        let found = self.instances[index].take_ask(id);
        if let Some((at, pending)) = found {
            let verdict = if pending.is_resent {
                verdict.after_resend()
            } else {
                verdict
            };
            self.drive(index, at, event_of(&pending.ask, verdict));
        }
    }

    /// Tells an instance's owner something and carries out what it wants.
    fn own(&mut self, index: usize, event: owner::Event) {
        let now = self.now(index);
        for action in self.instances[index].owner.handle(now, event) {
            match action {
                owner::Action::Append { body, .. } => {
                    assert!(self.instances[index].append.is_none());
                    self.instances[index].append = Some(body);
                }
                owner::Action::Read { from, .. } => {
                    assert!(self.instances[index].read.is_none());
                    self.instances[index].read = Some(Read::Asked(from));
                }
                owner::Action::Reply { token, verdict } => {
                    let (to, id) = self.instances[index].take_token(token);
                    self.wire.push((to, Message::Reply { id, verdict }));
                }
            }
        }
    }

    /// Tells a claim something and carries out what it wants.
    fn drive(&mut self, index: usize, at: usize, event: claim::Event) {
        let now = self.now(index);
        let actions = self.instances[index].claims[at].claim.handle(now, event);
        for action in actions {
            match action {
                claim::Action::Submit(record) => self.send(index, at, Ask::Record(record)),
                claim::Action::Lookup(slot) => self.send(index, at, Ask::Slot(slot)),
                claim::Action::Prepare => self.instances[index].claims[at].is_prepared = true,
                claim::Action::Write => {
                    self.counts.calls += 1;
                    let driver = &mut self.instances[index].claims[at];
                    driver.is_called = true;
                    self.judge.call(driver);
                }
                // The driver may be slow to hear of it, and still try to write.
                claim::Action::Cancel => {}
                claim::Action::Answer(answer) => {
                    self.judge
                        .answer(&mut self.instances[index].claims[at], &answer);
                    self.counts.note(answer.code);
                }
            }
        }
    }

    /// Sends to one of the owners; which one depends on what each instance believes.
    fn send(&mut self, index: usize, at: usize, ask: Ask) {
        self.send_to(index, at, ask, false);
    }

    fn send_to(&mut self, index: usize, at: usize, ask: Ask, is_resent: bool) {
        let id = self.fresh();
        let to = self.address(usize::try_from(id).unwrap() % self.instances.len().min(2));
        let from = self.address(index);
        let pending = Pending {
            id,
            ask: ask.clone(),
            is_resent,
        };
        self.instances[index].claims[at].asks.push(pending);
        self.wire.push((to, Message::Ask { from, id, ask }));
    }

    fn start(&mut self, index: usize, rest: usize) {
        let slot = self.keys[rest % self.keys.len()];
        let choice = rest / self.keys.len();
        let first = choice.is_multiple_of(2) && self.judge.is_untried(&slot);
        if self.instances[index].is_paused || self.judge.is_reserved(&slot) {
            return;
        }
        self.counts.attempts += 1;
        self.judge.attempt(slot, first);
        let body = Digest::of(if choice % 8 == 7 { b"other" } else { b"usual" });
        let life = self.instances[index].life;
        let call = claim::Call {
            slot,
            nonce: Nonce::from_random(self.fresh().into()),
            holder: Incarnation::new(format!("entry-{index}"), Stamp::from_millis(life)),
            body,
            first,
        };
        self.instances[index].claims.push(Driver::open(call));
        let at = self.instances[index].claims.len() - 1;
        self.drive(index, at, claim::Event::Start);
    }

    /// Lets an instance's log calls, timers and prepared calls move on.
    fn run(&mut self, index: usize) {
        if self.instances[index].is_paused {
            return;
        }
        if let Some(body) = self.instances[index].append.take() {
            let offset = self.log.append(body, self.time);
            self.own(index, owner::Event::Appended { offset });
        }
        match self.instances[index].read.take() {
            Some(Read::Asked(from)) => {
                let page = self.log.page(from);
                self.instances[index].read = Some(Read::Served(page));
            }
            Some(Read::Served(page)) => self.own(index, page),
            None => {}
        }
        self.own(index, owner::Event::Tick);
        for at in 0..self.instances[index].claims.len() {
            self.drive(index, at, claim::Event::Tick);
        }
        self.instances[index].forget();
    }

    fn serve(&mut self, index: usize, rest: usize) {
        let Some(at) = self.choose(index, rest) else {
            return;
        };
        let driver = &mut self.instances[index].claims[at];
        if driver.is_called {
            driver.is_called = false;
            let answer = self.judge.result(driver);
            self.drive(index, at, claim::Event::CallAnswered(answer));
        } else if driver.is_prepared {
            driver.is_prepared = false;
            self.drive(index, at, claim::Event::CallWritten);
        }
    }

    fn choose(&self, index: usize, rest: usize) -> Option<usize> {
        let instance = &self.instances[index];
        let busy = instance.claims.iter().enumerate();
        let busy = busy.filter(|(_, driver)| driver.is_called || driver.is_prepared);
        let busy: Vec<usize> = busy.map(|(at, _)| at).collect();
        if instance.is_paused || busy.is_empty() {
            return None;
        }
        Some(busy[rest % busy.len()])
    }

    /// Mends every fault, lets everything that is on its way arrive, and judges what stands.
    pub(crate) fn heal(&mut self) {
        for instance in &mut self.instances {
            instance.is_paused = false;
        }
        while self.log.land_late(0, self.time) {}
        for _ in 0..400 {
            while !self.wire.is_empty() {
                self.deliver(0);
            }
            for index in 0..self.instances.len() {
                for id in self.instances[index].asks() {
                    if !self.is_waiting(index, id) {
                        self.reply(index, id, Verdict::UNANSWERED);
                    }
                }
                for rest in 0..self.instances[index].claims.len() {
                    self.serve(index, rest);
                }
                self.run(index);
            }
            self.pass(10);
        }
        let open = self.instances.iter().flat_map(|instance| &instance.claims);
        let open: Vec<_> = open.filter(|driver| !driver.claim.is_ended()).collect();
        for driver in &open {
            // Only a claimant that waits for a holder that is gone has no end of its own.
            assert!(driver.is_attached(), "{driver:?}");
        }
        let mut projection = ledger::projection::Projection::new(self.config.projection.clone());
        self.log.replay(&mut projection, self.now(0).wall);
        self.judge.check(&projection, self.now(0).wall);
    }

    fn is_waiting(&self, index: usize, id: u64) -> bool {
        let from = self.address(index);
        let mut tokens = self.instances.iter().flat_map(|peer| &peer.tokens);
        tokens.any(|(_, to, ask)| *to == from && *ask == id)
            || self.wire.iter().any(|(to, message)| match message {
                Message::Ask { id: ask, .. } => *ask == id,
                Message::Reply { id: ask, .. } => *ask == id && *to == from,
            })
    }
}

fn event_of(ask: &Ask, verdict: Verdict) -> claim::Event {
    match ask {
        Ask::Record(record) => claim::Event::from_verdict(record, verdict),
        Ask::Slot(_) => claim::Event::Found(verdict),
    }
}

fn config() -> configs::Owner {
    let seconds = core::time::Duration::from_secs;
    configs::Owner {
        max_batch_records: 4,
        projection: configs::Projection {
            clock_error: seconds(1),
            horizon: seconds(20),
            max_pause: seconds(0),
            retention: seconds(24),
        },
        ..configs::Owner::default()
    }
}

impl Counts {
    fn note(&mut self, code: base::Code) {
        match code.outcome() {
            base::Outcome::Answered => self.answered += 1,
            base::Outcome::InProgress => self.in_progress += 1,
            base::Outcome::Incomplete | base::Outcome::NotRun => self.not_run += 1,
            base::Outcome::Unknown => self.unknown += 1,
        }
    }
}

impl core::ops::AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.steps += other.steps;
        self.attempts += other.attempts;
        self.calls += other.calls;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.in_progress += other.in_progress;
        self.lost_answers += other.lost_answers;
        self.pauses += other.pauses;
        self.restarts += other.restarts;
    }
}
