//! Visits every state that a few claims and two owners can reach with a few faults.
//!
//! Claims, owners and folds are the real ones; windows and intervals are zero, so that time does
//! not split states. Pauses need no move of their own: whoever is not moved is paused.

mod actor;

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

use self::actor::{Actor, Part};

const ISSUED: Stamp = Stamp::from_millis(1_000_000_000);
const NOW: Now = Now {
    tick: Tick::from_millis(1),
    wall: ISSUED,
};
const OWNERS: usize = 2;

/// How much is explored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) claims: usize,
    pub(crate) faults: u8,
    /// The most look-ups of one attached claim.
    pub(crate) lookups: u8,
}

/// What was visited.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Visited {
    pub(crate) states: usize,
    pub(crate) moves: usize,
    /// States in which nothing is left to do.
    pub(crate) ends: usize,
    /// Ends in which a call was made.
    pub(crate) called: usize,
}

#[derive(Clone, Debug)]
enum Read {
    Asked(u64),
    Served(owner::Event),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Ask { owner: usize, id: u64 },
    Reply { id: u64, verdict: String },
}

#[derive(Clone, Debug)]
struct State {
    slot: Slot,
    faults: u8,
    calls: u8,
    log: Vec<String>,
    late: Vec<String>,
    owners: Vec<Part<Owner>>,
    appends: Vec<Option<String>>,
    reads: Vec<Option<Read>>,
    actors: Vec<Part<Actor>>,
    wire: Vec<Message>,
    verdicts: Vec<(String, Verdict)>,
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Start(usize, usize),
    Deliver(usize),
    Lose(usize),
    /// The claimant stops waiting for the answer to a message that may still arrive.
    TimeOut(usize),
    Append(usize),
    Refuse(usize),
    /// The append lands and its answer is lost.
    Mute(usize),
    /// The append's answer is lost and it may land later.
    Delay(usize),
    Land(usize),
    Read(usize),
    Write(usize),
    Answer(usize),
    Fail(usize),
    /// The call turns out not to have run.
    TakeBack(usize),
    GiveUp(usize),
    Kill(usize),
    Lookup(usize, usize),
}

/// Visits all states and checks each move.
pub(crate) fn explore(bounds: Bounds) -> Visited {
    let start = State::open(bounds);
    let mut visited = Visited::default();
    let mut seen = HashSet::from([start.key()]);
    let mut queue = VecDeque::from([start]);
    while let Some(state) = queue.pop_front() {
        visited.states += 1;
        let moves = state.moves(bounds);
        visited.ends += usize::from(moves.is_empty());
        visited.called += usize::from(moves.is_empty() && state.calls > 0);
        for each in moves {
            visited.moves += 1;
            let mut next = state.clone();
            next.apply(each);
            if seen.insert(next.key()) {
                queue.push_back(next);
            }
        }
    }
    visited
}

impl State {
    fn open(bounds: Bounds) -> Self {
        let keys = (0..).map(|random| Key::from_parts(ISSUED, random));
        let mut slots = keys.map(|key| Slot::new("compas", &key, "entries-api"));
        let slot = slots.find(|slot| partition::for_slot(slot) == 0).unwrap();
        let mut state = Self {
            slot,
            faults: bounds.faults,
            calls: 0,
            log: Vec::new(),
            late: Vec::new(),
            owners: vec![Part::open(Owner::new(config(), 0, None)); OWNERS],
            appends: vec![None; OWNERS],
            reads: vec![None, None],
            actors: Vec::new(),
            wire: Vec::new(),
            verdicts: Vec::new(),
        };
        for index in 0..bounds.claims {
            state.actors.push(Part::open(Actor::open(slot, index)));
        }
        state
    }

    fn key(&self) -> Digest {
        Digest::of(format!("{self:?}").as_bytes())
    }

    fn moves(&self, bounds: Bounds) -> Vec<Move> {
        let mut moves = Vec::new();
        let has_fault = self.faults > 0;
        for at in 0..self.wire.len() {
            moves.push(Move::Deliver(at));
            if has_fault {
                moves.extend([Move::Lose(at), Move::TimeOut(at)]);
            }
        }
        moves.extend((0..self.late.len()).map(Move::Land));
        for owner in 0..OWNERS {
            moves.extend(self.reads[owner].is_some().then_some(Move::Read(owner)));
            if self.appends[owner].is_some() {
                moves.push(Move::Append(owner));
                if has_fault {
                    moves.extend([Move::Refuse(owner), Move::Mute(owner), Move::Delay(owner)]);
                }
            }
        }
        for (index, actor) in self.actors.iter().enumerate() {
            actor.value.moves(index, bounds, has_fault, &mut moves);
        }
        moves
    }

    fn apply(&mut self, each: Move) {
        match each {
            Move::Start(actor, owner) => self.drive(actor, owner, claim::Event::Start),
            Move::Deliver(at) => {
                let message = self.wire.remove(at);
                self.deliver(message);
            }
            Move::Lose(at) => {
                let id = self.wire.remove(at).id();
                self.time_out(id);
            }
            Move::TimeOut(at) => self.time_out(self.wire[at].id()),
            Move::Append(owner) => {
                let offset = self.land(owner);
                self.own(owner, owner::Event::Appended { offset });
            }
            Move::Refuse(owner) => {
                self.faults -= 1;
                self.appends[owner] = None;
                self.own(owner, owner::Event::AppendRefused);
            }
            Move::Mute(owner) => {
                self.faults -= 1;
                self.land(owner);
                self.own(owner, owner::Event::AppendUnanswered);
            }
            Move::Delay(owner) => {
                self.faults -= 1;
                self.late.extend(self.appends[owner].take());
                self.own(owner, owner::Event::AppendUnanswered);
            }
            Move::Land(at) => {
                let body = self.late.remove(at);
                self.log.push(body);
            }
            Move::Read(owner) => self.read(owner),
            Move::Write(actor) => {
                self.actors[actor].edit(|actor| actor.is_prepared = false);
                self.drive(actor, 0, claim::Event::CallWritten);
            }
            Move::Answer(actor) => {
                self.actors[actor].edit(|actor| actor.is_called = false);
                self.drive(actor, 0, claim::Event::CallAnswered(result()));
            }
            Move::Fail(actor) => {
                self.faults -= 1;
                let written = self.actors[actor].value.is_called;
                self.actors[actor].edit(|actor| actor.is_called = false);
                self.actors[actor].edit(|actor| actor.is_prepared = false);
                let code = Code::StageUnavailable;
                self.drive(actor, 0, claim::Event::CallFailed { written, code });
            }
            Move::TakeBack(actor) => {
                self.faults -= 1;
                self.calls -= 1;
                self.actors[actor].edit(Actor::take_back);
                self.drive(actor, 0, claim::Event::CallRefused);
            }
            Move::GiveUp(actor) => {
                self.faults -= 1;
                self.drive(actor, 0, claim::Event::Abandon(Code::DeadlinePassed));
            }
            Move::Kill(actor) => {
                self.faults -= 1;
                self.actors[actor].edit(|actor| actor.is_dead = true);
            }
            Move::Lookup(actor, owner) => {
                self.actors[actor].edit(|actor| actor.lookups += 1);
                self.drive(actor, owner, claim::Event::Tick);
            }
        }
        self.wire.sort_unstable();
        self.late.sort_unstable();
    }

    fn land(&mut self, owner: usize) -> u64 {
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
            Some(Read::Served(page)) => self.own(owner, page),
            None => {}
        }
    }

    fn time_out(&mut self, id: u64) {
        self.faults -= 1;
        self.reply(id, Verdict::UNANSWERED);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Ask { owner, id } => {
                let (actor, at) = split(id);
                let event = match self.actors[actor].value.asks[at].record.clone() {
                    Some(record) => owner::Event::Submit { token: id, record },
                    None => owner::Event::Lookup {
                        token: id,
                        slot: self.slot,
                    },
                };
                self.own(owner, event);
            }
            Message::Reply { id, verdict } => {
                let found = self.verdicts.iter().find(|(text, _)| *text == verdict);
                let verdict = found.unwrap().1.clone();
                self.reply(id, verdict);
            }
        }
    }

    fn reply(&mut self, id: u64, verdict: Verdict) {
        let (actor, at) = split(id);
        let ask = self.actors[actor].value.asks[at].clone();
        if !ask.is_open {
            return;
        }
        self.actors[actor].edit(|actor| actor.asks[at].is_open = false);
        let event = match &ask.record {
            Some(record) => claim::Event::from_verdict(record, verdict),
            None => claim::Event::Found(verdict),
        };
        if !self.actors[actor].value.is_dead {
            self.drive(actor, 0, event);
        }
    }

    fn own(&mut self, owner: usize, event: owner::Event) {
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
                    self.wire.push(Message::Reply { id, verdict });
                }
            }
        }
    }

    fn drive(&mut self, index: usize, owner: usize, event: claim::Event) {
        let actions = self.actors[index].edit(|actor| actor.claim.handle(NOW, event));
        for action in actions {
            match action {
                claim::Action::Submit(record) => {
                    let id = self.actors[index].edit(|actor| actor.ask(index, Some(record)));
                    self.wire.push(Message::Ask { owner, id });
                }
                claim::Action::Lookup(_) => {
                    let id = self.actors[index].edit(|actor| actor.ask(index, None));
                    self.wire.push(Message::Ask { owner, id });
                }
                claim::Action::Prepare => {
                    self.actors[index].edit(|actor| actor.is_prepared = true);
                }
                claim::Action::Write => {
                    self.calls += 1;
                    assert_eq!(self.calls, 1, "called twice");
                    self.actors[index].edit(Actor::call);
                }
                // The driver may be slow to hear of it, and still try to write.
                claim::Action::Cancel => {}
                claim::Action::Answer(answer) => {
                    match answer.code.outcome() {
                        Outcome::Incomplete | Outcome::NotRun => {
                            assert_eq!(self.calls, 0, "it ran");
                        }
                        Outcome::Answered => assert_eq!(answer, result(), "another answer"),
                        Outcome::InProgress | Outcome::Unknown => {}
                    }
                    self.actors[index].edit(|actor| actor.tell(answer.code));
                }
            }
        }
    }
}

impl Message {
    const fn id(&self) -> u64 {
        match self {
            Self::Ask { id, .. } | Self::Reply { id, .. } => *id,
        }
    }
}

fn split(id: u64) -> (usize, usize) {
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
