//! Visits every state that a few claims and two owners can reach with a few faults.
//!
//! Claims, owners and projections are the real ones. Windows and intervals are zero, so that time
//! does not multiply states. Pauses need no transition: a component without one is paused.

mod claimant;

use core::time::Duration;
use std::collections::{HashSet, VecDeque};

use base::{Code, Digest, Key, Outcome, Stamp, Tick};
use ledger::{
    Now, claim, configs,
    owner::{self, Owner, Verdict},
    partition,
    record::Answer,
    slot::Slot,
};

use self::claimant::{Claimant, Component};

const ISSUED: Stamp = Stamp::from_millis(1_000_000_000);
const NOW: Now = Now {
    tick: Tick::from_millis(1),
    wall: ISSUED,
};
const OWNERS: usize = 2;

/// The bounds of the exploration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) claims: usize,
    pub(crate) faults: u8,
    /// The largest number of look-ups per attached claim.
    pub(crate) lookups: u8,
}

/// Counts of visited states and transitions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Visited {
    pub(crate) states: usize,
    pub(crate) transitions: usize,
    /// States without a transition.
    pub(crate) ends: usize,
    /// States without a transition in which a call was made.
    pub(crate) called: usize,
}

#[derive(Clone, Debug)]
enum Read {
    /// The log has not served the read yet; holds the first offset to read.
    Asked(u64),
    /// The log has served the read, and the owner has not received the page yet.
    Served(owner::Event),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Request { owner: usize, id: u64 },
    Reply { id: u64, verdict: String },
}

#[derive(Clone, Debug)]
struct State {
    slot: Slot,
    faults: u8,
    calls: u8,
    log: Vec<String>,
    /// Unanswered appends that may still take effect.
    late: Vec<String>,
    owners: Vec<Component<Owner>>,
    appends: Vec<Option<String>>,
    reads: Vec<Option<Read>>,
    claimants: Vec<Component<Claimant>>,
    network: Vec<Message>,
    verdicts: Vec<(String, Verdict)>,
}

#[derive(Clone, Copy, Debug)]
enum Transition {
    Start(usize, usize),
    Deliver(usize),
    Lose(usize),
    /// The claimant stops waiting for the answer to a message that may still arrive.
    TimeOut(usize),
    Append(usize),
    Refuse(usize),
    /// The append takes effect and its answer is lost.
    LoseAnswer(usize),
    /// The append's answer is lost and it may take effect later.
    Delay(usize),
    AppendLate(usize),
    Read(usize),
    Write(usize),
    Answer(usize),
    Fail(usize),
    /// The call turns out not to have run.
    RefuseCall(usize),
    Abandon(usize),
    Crash(usize),
    Lookup(usize, usize),
}

/// Visits all states and checks each transition.
pub(crate) fn explore(bounds: Bounds) -> Visited {
    let start = State::new(bounds);
    let mut visited = Visited::default();
    let mut seen = HashSet::from([start.key()]);
    let mut queue = VecDeque::from([start]);
    while let Some(state) = queue.pop_front() {
        visited.states += 1;
        let transitions = state.transitions(bounds);
        visited.ends += usize::from(transitions.is_empty());
        visited.called += usize::from(transitions.is_empty() && state.calls > 0);
        for transition in transitions {
            visited.transitions += 1;
            let mut next = state.clone();
            next.apply(transition);
            if seen.insert(next.key()) {
                queue.push_back(next);
            }
        }
    }
    visited
}

impl State {
    fn new(bounds: Bounds) -> Self {
        let keys = (0..).map(|random| Key::from_parts(ISSUED, random));
        let mut slots = keys.map(|key| Slot::new("compas", &key, "entries-api"));
        let slot = slots.find(|slot| partition::for_slot(slot) == 0).unwrap();
        let mut state = Self {
            slot,
            faults: bounds.faults,
            calls: 0,
            log: Vec::new(),
            late: Vec::new(),
            owners: vec![Component::new(Owner::new(config(), 0, None)); OWNERS],
            appends: vec![None; OWNERS],
            reads: vec![None, None],
            claimants: Vec::new(),
            network: Vec::new(),
            verdicts: Vec::new(),
        };
        for index in 0..bounds.claims {
            state
                .claimants
                .push(Component::new(Claimant::new(slot, index)));
        }
        state
    }

    fn key(&self) -> Digest {
        Digest::of(format!("{self:?}").as_bytes())
    }

    fn transitions(&self, bounds: Bounds) -> Vec<Transition> {
        let mut transitions = Vec::new();
        let has_fault = self.faults > 0;
        for at in 0..self.network.len() {
            transitions.push(Transition::Deliver(at));
            if has_fault {
                transitions.extend([Transition::Lose(at), Transition::TimeOut(at)]);
            }
        }
        transitions.extend((0..self.late.len()).map(Transition::AppendLate));
        for owner in 0..OWNERS {
            transitions.extend(
                self.reads[owner]
                    .is_some()
                    .then_some(Transition::Read(owner)),
            );
            if self.appends[owner].is_some() {
                transitions.push(Transition::Append(owner));
                if has_fault {
                    transitions.extend([
                        Transition::Refuse(owner),
                        Transition::LoseAnswer(owner),
                        Transition::Delay(owner),
                    ]);
                }
            }
        }
        for (index, claimant) in self.claimants.iter().enumerate() {
            claimant
                .value
                .transitions(index, bounds, has_fault, &mut transitions);
        }
        transitions
    }

    fn apply(&mut self, transition: Transition) {
        match transition {
            Transition::Start(claimant, owner) => {
                self.drive_claim(claimant, owner, claim::Event::Start)
            }
            Transition::Deliver(at) => {
                let message = self.network.remove(at);
                self.deliver(message);
            }
            Transition::Lose(at) => {
                let id = self.network.remove(at).id();
                self.time_out(id);
            }
            Transition::TimeOut(at) => self.time_out(self.network[at].id()),
            Transition::Append(owner) => {
                let offset = self.append(owner);
                self.drive_owner(owner, owner::Event::Appended { offset });
            }
            Transition::Refuse(owner) => {
                self.faults -= 1;
                self.appends[owner] = None;
                self.drive_owner(owner, owner::Event::AppendRefused);
            }
            Transition::LoseAnswer(owner) => {
                self.faults -= 1;
                self.append(owner);
                self.drive_owner(owner, owner::Event::AppendUnanswered);
            }
            Transition::Delay(owner) => {
                self.faults -= 1;
                self.late.extend(self.appends[owner].take());
                self.drive_owner(owner, owner::Event::AppendUnanswered);
            }
            Transition::AppendLate(at) => {
                let body = self.late.remove(at);
                self.log.push(body);
            }
            Transition::Read(owner) => self.read(owner),
            Transition::Write(claimant) => {
                self.claimants[claimant].edit(|claimant| claimant.is_prepared = false);
                self.drive_claim(claimant, 0, claim::Event::CallWritten);
            }
            Transition::Answer(claimant) => {
                self.claimants[claimant].edit(|claimant| claimant.is_called = false);
                self.drive_claim(claimant, 0, claim::Event::CallAnswered(result()));
            }
            Transition::Fail(claimant) => {
                self.faults -= 1;
                let written = self.claimants[claimant].value.is_called;
                self.claimants[claimant].edit(|claimant| claimant.is_called = false);
                self.claimants[claimant].edit(|claimant| claimant.is_prepared = false);
                let code = Code::StageUnavailable;
                self.drive_claim(claimant, 0, claim::Event::CallFailed { written, code });
            }
            Transition::RefuseCall(claimant) => {
                self.faults -= 1;
                self.calls -= 1;
                self.claimants[claimant].edit(Claimant::undo_call);
                self.drive_claim(claimant, 0, claim::Event::CallRefused);
            }
            Transition::Abandon(claimant) => {
                self.faults -= 1;
                self.drive_claim(claimant, 0, claim::Event::Abandon(Code::DeadlinePassed));
            }
            Transition::Crash(claimant) => {
                self.faults -= 1;
                self.claimants[claimant].edit(|claimant| claimant.is_dead = true);
            }
            Transition::Lookup(claimant, owner) => {
                self.claimants[claimant].edit(|claimant| claimant.lookups += 1);
                self.drive_claim(claimant, owner, claim::Event::Tick);
            }
        }
        self.network.sort_unstable();
        self.late.sort_unstable();
    }

    fn append(&mut self, owner: usize) -> u64 {
        self.log.extend(self.appends[owner].take());
        self.log.len() as u64 - 1
    }

    fn read(&mut self, owner: usize) {
        match self.reads[owner].take() {
            Some(Read::Asked(from)) => {
                let skip = usize::try_from(from).unwrap();
                let records = self.log.iter().enumerate().skip(skip);
                let page = owner::Event::Page {
                    first: 0,
                    end: self.log.len() as u64,
                    records: records
                        .map(|(offset, body)| (offset as u64, body.clone()))
                        .collect(),
                };
                self.reads[owner] = Some(Read::Served(page));
            }
            Some(Read::Served(page)) => self.drive_owner(owner, page),
            None => {}
        }
    }

    fn time_out(&mut self, id: u64) {
        self.faults -= 1;
        self.reply(id, Verdict::UNANSWERED);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request { owner, id } => {
                let (claimant, at) = split_id(id);
                let event = match self.claimants[claimant].value.requests[at].record.clone() {
                    Some(record) => owner::Event::Submit { token: id, record },
                    None => owner::Event::Lookup {
                        token: id,
                        slot: self.slot,
                    },
                };
                self.drive_owner(owner, event);
            }
            Message::Reply { id, verdict } => {
                let found = self.verdicts.iter().find(|(text, _)| *text == verdict);
                let verdict = found.unwrap().1.clone();
                self.reply(id, verdict);
            }
        }
    }

    fn reply(&mut self, id: u64, verdict: Verdict) {
        let (claimant, at) = split_id(id);
        let request = self.claimants[claimant].value.requests[at].clone();
        if !request.is_open {
            return;
        }
        self.claimants[claimant].edit(|claimant| claimant.requests[at].is_open = false);
        let event = match &request.record {
            Some(record) => claim::Event::from_verdict(record, verdict),
            None => claim::Event::Found(verdict),
        };
        if !self.claimants[claimant].value.is_dead {
            self.drive_claim(claimant, 0, event);
        }
    }

    fn drive_owner(&mut self, owner: usize, event: owner::Event) {
        for action in self.owners[owner].edit(|owner| owner.handle(NOW, event)) {
            match action {
                owner::Action::Append { body, .. } => self.appends[owner] = Some(body),
                owner::Action::Read { from, .. } => self.reads[owner] = Some(Read::Asked(from)),
                owner::Action::Reply { token, verdict } => {
                    let text = format!("{verdict:?}");
                    if self.verdicts.iter().all(|(known, _)| *known != text) {
                        self.verdicts.push((text.clone(), verdict));
                        self.verdicts.sort_by(|one, other| one.0.cmp(&other.0));
                    }
                    let (id, verdict) = (token, text);
                    self.network.push(Message::Reply { id, verdict });
                }
            }
        }
    }

    fn drive_claim(&mut self, index: usize, owner: usize, event: claim::Event) {
        let actions = self.claimants[index].edit(|claimant| claimant.claim.handle(NOW, event));
        for action in actions {
            match action {
                claim::Action::Submit(record) => {
                    let id = self.claimants[index]
                        .edit(|claimant| claimant.add_request(index, Some(record)));
                    self.network.push(Message::Request { owner, id });
                }
                claim::Action::Lookup(_) => {
                    let id =
                        self.claimants[index].edit(|claimant| claimant.add_request(index, None));
                    self.network.push(Message::Request { owner, id });
                }
                claim::Action::Prepare => {
                    self.claimants[index].edit(|claimant| claimant.is_prepared = true);
                }
                claim::Action::Write => {
                    self.calls += 1;
                    assert_eq!(self.calls, 1, "called twice");
                    self.claimants[index].edit(Claimant::record_call);
                }
                // The driver may handle it late, and still try to write.
                claim::Action::Cancel => {}
                claim::Action::Answer(answer) => {
                    match answer.code.outcome() {
                        Outcome::Incomplete | Outcome::NotRun => {
                            assert_eq!(self.calls, 0, "answered not run, but the call ran");
                        }
                        Outcome::Answered => {
                            assert_eq!(answer, result(), "answer differs from the service's")
                        }
                        Outcome::InProgress | Outcome::Unknown => {}
                    }
                    self.claimants[index].edit(|claimant| claimant.record_answer(answer.code));
                }
            }
        }
    }
}

impl Message {
    const fn id(&self) -> u64 {
        match self {
            Self::Request { id, .. } | Self::Reply { id, .. } => *id,
        }
    }
}

fn split_id(id: u64) -> (usize, usize) {
    let id = usize::try_from(id).unwrap();
    (id / 100, id % 100)
}

fn result() -> Answer {
    Answer::new(Code::Answered, "registered", 1).unwrap()
}

fn config() -> configs::Owner {
    configs::Owner {
        batch_window: Duration::ZERO,
        retry_interval: Duration::ZERO,
        ..configs::Owner::default()
    }
}
