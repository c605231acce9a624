//! A simulation of a few instances, the log, the network and a service, driven by numbers.
//!
//! The oracle stands for the service: it counts the calls sent for each slot and body.

mod faults;
mod instance;
mod log;
mod oracle;

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
    log::Log,
    oracle::Oracle,
};

const SECOND: u64 = 1_000;
const START: u64 = 1_000 * SECOND;

/// What a claimant requests from an owner.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    Record(Record),
    Slot(Slot),
}

#[derive(Clone, Debug)]
enum Message {
    Request {
        from: Address,
        id: u64,
        request: Request,
    },
    Reply {
        id: u64,
        verdict: Verdict,
    },
}

/// One generation of an instance; a restart begins the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Address {
    index: usize,
    generation: u64,
}

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) instances: usize,
    pub(crate) slots: usize,
    /// Whether time may jump so far that keys expire and records leave the log.
    pub(crate) expiry: bool,
}

/// Counts of events and answers.
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

pub(crate) struct Simulation {
    pub(crate) counts: Counts,
    pub(crate) oracle: Oracle,
    setup: Setup,
    config: configs::Owner,
    time: u64,
    next: u64,
    log: Log,
    network: Vec<(Address, Message)>,
    instances: Vec<Instance>,
    slots: Vec<Slot>,
}

impl Simulation {
    pub(crate) fn new(setup: Setup) -> Self {
        let mut simulation = Self {
            counts: Counts::default(),
            oracle: Oracle::default(),
            config: config(),
            time: START,
            next: 0,
            log: Log::default(),
            network: Vec::new(),
            instances: Vec::new(),
            slots: Vec::new(),
            setup,
        };
        for index in 0..simulation.setup.instances {
            let owner = simulation.owner(None);
            // The clocks of the instances differ by the allowed clock error.
            let error = [0, SECOND, 0][index % 3];
            simulation.instances.push(Instance::new(owner, error));
        }
        for _ in 0..simulation.setup.slots {
            let slot = simulation.issue_slot();
            simulation.slots.push(slot);
        }
        simulation
    }

    fn owner(&self, snapshot: Option<ledger::projection::Snapshot>) -> owner::Owner {
        owner::Owner::new(self.config.clone(), 0, snapshot)
    }

    /// Issues a key whose slot falls into the simulated partition.
    fn issue_slot(&mut self) -> Slot {
        loop {
            let key = Key::from_parts(Stamp::from_millis(self.time), self.next_id().into());
            let slot = Slot::new("adinkra", &key, "commission-ledger");
            if partition::for_slot(&slot) == 0 {
                return slot;
            }
        }
    }

    fn next_id(&mut self) -> u64 {
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
        let generation = self.instances[index].generation;
        Address { index, generation }
    }

    /// Carries out the step that a number encodes: most numbers make progress, the others are
    /// faults.
    pub(crate) fn step(&mut self, choice: u32) {
        self.counts.steps += 1;
        let pick = (choice >> 8) as usize;
        let index = pick % self.instances.len();
        let rest = pick / self.instances.len();
        match choice % 64 {
            0..=15 => self.deliver(pick),
            16..=27 => self.run_instance(index),
            28..=33 => self.advance_time(rest as u64 % 40),
            34..=38 => self.start(index, rest),
            39..=45 => self.serve(index, rest),
            46 => self.abandon(index, rest),
            47..=48 => self.lose_message(pick),
            49 => self.duplicate(pick),
            50..=53 => self.fail_log(index, rest),
            54 => drop(self.log.append_late(pick, self.time)),
            55 => self.fail_call(index, rest),
            56..=57 => self.resume(index),
            58 => self.pause(index, rest),
            59 if rest.is_multiple_of(8) => self.restart(index, rest / 8),
            60 => self.time_out(index, rest),
            61 if rest.is_multiple_of(8) => self.advance_time(SECOND),
            61 if self.setup.expiry && rest % 8 == 1 => self.advance_time(8 * SECOND),
            62 if self.setup.expiry => self.log.drop_expired(self.time, &self.config.projection),
            63 => self.replace_slot(rest),
            _ => self.run_instance(index),
        }
    }

    fn replace_slot(&mut self, rest: usize) {
        let at = rest % self.slots.len();
        self.slots[at] = self.issue_slot();
    }

    fn advance_time(&mut self, millis: u64) {
        self.time += millis;
    }

    fn deliver(&mut self, pick: usize) {
        if self.network.is_empty() {
            return;
        }
        let at = pick % self.network.len();
        let (to, message) = self.network[at].clone();
        if self.instances[to.index].is_paused {
            return;
        }
        self.network.swap_remove(at);
        if to != self.address(to.index) {
            return;
        }
        match message {
            Message::Request { from, id, request } => {
                self.handle_request(to.index, from, id, request)
            }
            Message::Reply { id, verdict } => self.reply(to.index, id, verdict),
        }
    }

    fn handle_request(&mut self, index: usize, from: Address, id: u64, request: Request) {
        let token = self.next_id();
        self.instances[index].tokens.push((token, from, id));
        let event = match request {
            Request::Record(record) => owner::Event::Submit { token, record },
            Request::Slot(slot) => owner::Event::Lookup { token, slot },
        };
        self.drive_owner(index, event);
    }

    fn reply(&mut self, index: usize, id: u64, verdict: Verdict) {
        let found = self.instances[index].take_request(id);
        if let Some((at, pending)) = found {
            let verdict = if pending.is_resent {
                verdict.after_resend()
            } else {
                verdict
            };
            self.drive_claim(index, at, event_of(&pending.request, verdict));
        }
    }

    /// Passes an event to an instance's owner and carries out its actions.
    fn drive_owner(&mut self, index: usize, event: owner::Event) {
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
                    self.network.push((to, Message::Reply { id, verdict }));
                }
            }
        }
    }

    /// Passes an event to a claim and carries out its actions.
    fn drive_claim(&mut self, index: usize, at: usize, event: claim::Event) {
        let now = self.now(index);
        let actions = self.instances[index].claims[at].claim.handle(now, event);
        for action in actions {
            match action {
                claim::Action::Submit(record) => self.send(index, at, Request::Record(record)),
                claim::Action::Lookup(slot) => self.send(index, at, Request::Slot(slot)),
                claim::Action::Prepare => self.instances[index].claims[at].is_prepared = true,
                claim::Action::Write => {
                    self.counts.calls += 1;
                    let driver = &mut self.instances[index].claims[at];
                    driver.is_called = true;
                    self.oracle.record_call(driver);
                }
                // The driver may handle it late, and still try to write.
                claim::Action::Cancel => {}
                claim::Action::Answer(answer) => {
                    self.oracle
                        .check_answer(&mut self.instances[index].claims[at], &answer);
                    self.counts.record(answer.code);
                }
            }
        }
    }

    /// Sends to one of two owners, since instances may disagree about the owner.
    fn send(&mut self, index: usize, at: usize, request: Request) {
        self.send_to(index, at, request, false);
    }

    fn send_to(&mut self, index: usize, at: usize, request: Request, is_resent: bool) {
        let id = self.next_id();
        let to = self.address(usize::try_from(id).unwrap() % self.instances.len().min(2));
        let from = self.address(index);
        let pending = Pending {
            id,
            request: request.clone(),
            is_resent,
        };
        self.instances[index].claims[at].requests.push(pending);
        self.network
            .push((to, Message::Request { from, id, request }));
    }

    fn start(&mut self, index: usize, rest: usize) {
        let slot = self.slots[rest % self.slots.len()];
        let choice = rest / self.slots.len();
        let first = choice.is_multiple_of(2) && self.oracle.is_untried(&slot);
        if self.instances[index].is_paused || self.oracle.is_reserved(&slot) {
            return;
        }
        self.counts.attempts += 1;
        self.oracle.record_attempt(slot, first);
        let body = Digest::of(if choice % 8 == 7 { b"other" } else { b"usual" });
        let generation = self.instances[index].generation;
        let call = claim::Call {
            slot,
            nonce: Nonce::from_random(self.next_id().into()),
            holder: Incarnation::new(format!("entry-{index}"), Stamp::from_millis(generation)),
            body,
            first,
        };
        self.instances[index].claims.push(Driver::new(call));
        let at = self.instances[index].claims.len() - 1;
        self.drive_claim(index, at, claim::Event::Start);
    }

    /// Advances an instance's log calls and timers.
    fn run_instance(&mut self, index: usize) {
        if self.instances[index].is_paused {
            return;
        }
        if let Some(body) = self.instances[index].append.take() {
            let offset = self.log.append(body, self.time);
            self.drive_owner(index, owner::Event::Appended { offset });
        }
        match self.instances[index].read.take() {
            Some(Read::Asked(from)) => {
                let page = self.log.page(from);
                self.instances[index].read = Some(Read::Served(page));
            }
            Some(Read::Served(page)) => self.drive_owner(index, page),
            None => {}
        }
        self.drive_owner(index, owner::Event::Tick);
        for at in 0..self.instances[index].claims.len() {
            self.drive_claim(index, at, claim::Event::Tick);
        }
        self.instances[index].remove_ended();
    }

    fn serve(&mut self, index: usize, rest: usize) {
        let Some(at) = self.choose_active_call(index, rest) else {
            return;
        };
        let driver = &mut self.instances[index].claims[at];
        if driver.is_called {
            driver.is_called = false;
            let answer = self.oracle.serve(driver);
            self.drive_claim(index, at, claim::Event::CallAnswered(answer));
        } else if driver.is_prepared {
            driver.is_prepared = false;
            self.drive_claim(index, at, claim::Event::CallWritten);
        }
    }

    fn choose_active_call(&self, index: usize, rest: usize) -> Option<usize> {
        let instance = &self.instances[index];
        let busy = instance.claims.iter().enumerate();
        let busy = busy.filter(|(_, driver)| driver.is_called || driver.is_prepared);
        let busy: Vec<usize> = busy.map(|(at, _)| at).collect();
        if instance.is_paused || busy.is_empty() {
            return None;
        }
        Some(busy[rest % busy.len()])
    }

    /// Ends all faults, delivers everything in flight, and checks the final log.
    pub(crate) fn settle(&mut self) {
        for instance in &mut self.instances {
            instance.is_paused = false;
        }
        while self.log.append_late(0, self.time) {}
        for _ in 0..400 {
            while !self.network.is_empty() {
                self.deliver(0);
            }
            for index in 0..self.instances.len() {
                for id in self.instances[index].requests() {
                    if !self.is_waiting(index, id) {
                        self.reply(index, id, Verdict::UNANSWERED);
                    }
                }
                for rest in 0..self.instances[index].claims.len() {
                    self.serve(index, rest);
                }
                self.run_instance(index);
            }
            self.advance_time(10);
        }
        let open = self.instances.iter().flat_map(|instance| &instance.claims);
        let open: Vec<_> = open.filter(|driver| !driver.claim.is_ended()).collect();
        for driver in &open {
            // Only a claimant that waits for an ended holder does not end by itself.
            assert!(driver.is_attached(), "{driver:?}");
        }
        let mut projection = ledger::projection::Projection::new(self.config.projection.clone());
        self.log.replay(&mut projection, self.now(0).wall);
        self.oracle.check_log(&projection, self.now(0).wall);
    }

    fn is_waiting(&self, index: usize, id: u64) -> bool {
        let from = self.address(index);
        let mut tokens = self.instances.iter().flat_map(|peer| &peer.tokens);
        tokens.any(|(_, to, request)| *to == from && *request == id)
            || self.network.iter().any(|(to, message)| match message {
                Message::Request { id: request, .. } => *request == id,
                Message::Reply { id: request, .. } => *request == id && *to == from,
            })
    }
}

fn event_of(request: &Request, verdict: Verdict) -> claim::Event {
    match request {
        Request::Record(record) => claim::Event::from_verdict(record, verdict),
        Request::Slot(_) => claim::Event::Found(verdict),
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
    fn record(&mut self, code: base::Code) {
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
