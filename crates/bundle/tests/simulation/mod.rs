//! A simulation of a log, operators and instances that executes one step at a time.
#![allow(dead_code)] // Each test binary uses only a part of this module.

use core::time::Duration;
use std::sync::Arc;

use base::{Digest, Stamp};
use bundle::{
    Document, Position, Projection, Record,
    delta::Delta,
    record::{Content, Publish, RollOut, SignOff},
    sign::{Key, Message},
};

pub(crate) const OPERATORS: [&str; 3] = ["ana", "ben", "eva"];

/// Returns the public keys of all operators.
pub(crate) fn roots() -> Vec<Digest> {
    OPERATORS.map(|name| Key::example(name).public()).to_vec()
}

/// Returns the text of a bundle; `variant` distinguishes bundles with the same version.
pub(crate) fn text(version: u64, variant: u64) -> String {
    let mut text = format!("name = \"trial\"\nversion = {version}\n");
    for name in OPERATORS {
        let public = Key::example(name).public();
        text.push_str(&format!(
            "[[signers]]\nname = \"{name}\"\npublic_key = \"{public}\"\n"
        ));
    }
    text.push_str(&format!(
        "[[pools]]\nname = \"pool\"\nkind = \"service\"\nconcurrency = {}\n",
        variant + 1
    ));
    text
}

/// Returns a proposal based on the bundle that a reader has in force.
pub(crate) fn publish(view: &Projection, author: &str, variant: u64, delta: bool) -> Record {
    let base = view.position();
    let version = base.map_or(0, |base| base.version) + 1;
    let text = text(version, variant);
    let document = Document::from_toml(&text).unwrap();
    let digest = document.digest();
    let base_digest = base.map(|base| base.digest);
    let content = match view.document() {
        Some(old) if delta => Content::Delta(Delta::between(old, &document)),
        _ => Content::Whole(text),
    };
    Record::Publish(Publish {
        version,
        base: base_digest,
        digest,
        author: author.into(),
        content,
        signature: Key::example(author).sign(&Message::publish(version, base_digest, digest)),
    })
}

/// Returns a sign-off for one of the open proposals by other authors, chosen by `at`.
pub(crate) fn sign_off(view: &Projection, signer: &str, at: usize) -> Option<Record> {
    let others: Vec<_> = view
        .pending()
        .iter()
        .map(|proposal| &proposal.approval)
        .filter(|approval| approval.author.as_str() != signer)
        .collect();
    let approval = others.get(at % others.len().max(1))?;
    let message = Message::sign_off(approval.version, approval.base, approval.digest);
    Some(Record::SignOff(SignOff {
        digest: approval.digest,
        signer: signer.into(),
        signature: Key::example(signer).sign(&message),
    }))
}

/// Returns the roll-out of the open proposal chosen by `at`.
pub(crate) fn roll_out(view: &Projection, author: &str, at: usize, nonce: u64) -> Option<Record> {
    let open = view.pending();
    let approval = &open.get(at % open.len().max(1))?.approval;
    let base = view.position().map(|position| position.digest);
    let message = Message::roll_out(base, approval.digest, nonce);
    Some(Record::RollOut(RollOut {
        digest: approval.digest,
        base,
        author: author.into(),
        nonce,
        signature: Key::example(author).sign(&message),
    }))
}

/// One step of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// An operator reads the log to its end.
    Refresh { operator: u8 },
    /// An operator proposes a bundle, based on what they last read.
    Publish {
        operator: u8,
        variant: u8,
        delta: bool,
        delivery: Delivery,
    },
    /// An operator signs off a proposal.
    SignOff {
        operator: u8,
        at: u8,
        delivery: Delivery,
    },
    /// An operator rolls out a proposal.
    RollOut {
        operator: u8,
        at: u8,
        delivery: Delivery,
    },
    /// A delayed append gets into the log.
    DeliverDelayed { at: u8 },
    /// An instance reads some records.
    Read { instance: u8, records: u8 },
    /// An instance applies a peer's proof.
    Adopt { instance: u8, peer: u8 },
    /// An instance restarts without any state.
    Restart { instance: u8 },
    /// An instance restarts and continues from a peer's proof.
    Resume { instance: u8, peer: u8 },
    /// An instance appends a `Carry`.
    Carry { instance: u8, delivery: Delivery },
    /// An operator proposes a bundle, and another one signs it off and rolls it out.
    Advance {
        operator: u8,
        variant: u8,
        delta: bool,
    },
    /// Two operators change the bundle concurrently; the one named orders the roll-out first.
    Race { first: u8, delta: bool },
    /// The log drops its oldest records.
    Drop { records: u8 },
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// The record is in the log at once.
    Immediate,
    /// The record gets into the log later.
    Delayed,
    /// The record is in the log at once and again later.
    Duplicated,
    /// The record never gets into the log.
    Lost,
}

/// A log with operators and instances.
#[derive(Debug)]
pub(crate) struct Simulation {
    /// The lowest offset that the log keeps.
    first: usize,
    records: Vec<Arc<Record>>,
    delayed: Vec<Arc<Record>>,
    operators: Vec<Projection>,
    pub(crate) instances: Vec<Projection>,
    /// A reader that applies every record as soon as it is in the log.
    reference: Projection,
    /// All positions, in the order of the log.
    pub(crate) order: Vec<Position>,
    /// The index in `order` that each instance last reached since its restart.
    reached: Vec<Option<usize>>,
    nonce: u64,
}

impl Simulation {
    pub(crate) fn new(instances: usize) -> Self {
        let fresh = Projection::new(roots());
        Self {
            first: 0,
            records: Vec::new(),
            delayed: Vec::new(),
            operators: vec![fresh.clone(); OPERATORS.len()],
            instances: vec![fresh.clone(); instances],
            reference: fresh,
            order: Vec::new(),
            reached: vec![None; instances],
            nonce: 0,
        }
    }

    /// Executes one step and checks that every instance is at a position of the log and never goes back.
    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Refresh { operator } => {
                let at = usize::from(operator) % self.operators.len();
                read(
                    &mut self.operators[at],
                    self.first,
                    &self.records,
                    usize::MAX,
                );
            }
            Step::Publish {
                operator,
                variant,
                delta,
                delivery,
            } => {
                let (view, name) = self.operator(operator);
                if view.is_synced() {
                    let record = publish(view, name, u64::from(variant), delta);
                    self.append(record, delivery);
                }
            }
            Step::SignOff {
                operator,
                at,
                delivery,
            } => {
                let (view, name) = self.operator(operator);
                if let Some(record) = sign_off(view, name, usize::from(at)) {
                    self.append(record, delivery);
                }
            }
            Step::RollOut {
                operator,
                at,
                delivery,
            } => {
                self.nonce += 1;
                let (view, name) = self.operator(operator);
                if let Some(record) = roll_out(view, name, usize::from(at), self.nonce) {
                    self.append(record, delivery);
                }
            }
            Step::DeliverDelayed { at } => {
                if !self.delayed.is_empty() {
                    let record = self.delayed.remove(usize::from(at) % self.delayed.len());
                    self.push(record);
                }
            }
            Step::Read { instance, records } => {
                let at = usize::from(instance) % self.instances.len();
                let limit = usize::from(records);
                read(&mut self.instances[at], self.first, &self.records, limit);
            }
            Step::Adopt { instance, peer } => {
                let at = usize::from(instance) % self.instances.len();
                let peer = usize::from(peer) % self.instances.len();
                if let Some(proof) = self.instances[peer].proof() {
                    self.instances[at].apply_proof(&proof).unwrap();
                }
            }
            Step::Restart { instance } => {
                let at = usize::from(instance) % self.instances.len();
                self.instances[at] = Projection::new(roots());
                self.reached[at] = None;
            }
            Step::Resume { instance, peer } => {
                let at = usize::from(instance) % self.instances.len();
                let peer = usize::from(peer) % self.instances.len();
                if let Some(proof) = self.instances[peer].proof() {
                    self.instances[at] = Projection::resume(roots(), &proof).unwrap();
                    self.reached[at] = None;
                }
            }
            Step::Carry { instance, delivery } => {
                let at = usize::from(instance) % self.instances.len();
                let now = Stamp::from_millis(1);
                if let Some(carry) = self.instances[at].carry(now, Duration::ZERO) {
                    self.append(Record::Carry(Box::new(carry)), delivery);
                }
            }
            Step::Advance {
                operator,
                variant,
                delta,
            } => self.advance(operator, variant, delta),
            Step::Race { first, delta } => self.race(first, delta),
            Step::Drop { records } => {
                self.first = self.records.len().min(self.first + usize::from(records));
            }
        }
        self.check();
    }

    fn advance(&mut self, operator: u8, variant: u8, delta: bool) {
        let delivery = Delivery::Immediate;
        let other = operator + 1;
        self.step(Step::Refresh { operator });
        self.step(Step::Publish {
            operator,
            variant,
            delta,
            delivery,
        });
        self.step(Step::Refresh { operator: other });
        self.step(Step::SignOff {
            operator: other,
            at: variant,
            delivery,
        });
        self.step(Step::Refresh { operator: other });
        self.step(Step::RollOut {
            operator: other,
            at: variant,
            delivery,
        });
    }

    fn race(&mut self, first: u8, delta: bool) {
        let delivery = Delivery::Immediate;
        let pair = [first, first + 1];
        for operator in pair {
            self.step(Step::Refresh { operator });
        }
        for operator in pair {
            let variant = operator % 3;
            self.step(Step::Publish {
                operator,
                variant,
                delta,
                delivery,
            });
        }
        for operator in pair {
            self.step(Step::Refresh { operator });
            self.step(Step::SignOff {
                operator,
                at: 0,
                delivery,
            });
        }
        for operator in pair {
            self.step(Step::Refresh { operator });
        }
        for (at, operator) in (0..).zip(pair) {
            self.step(Step::RollOut {
                operator,
                at,
                delivery,
            });
        }
    }

    /// Makes every instance read the log to its end.
    pub(crate) fn read_all(&mut self) {
        for instance in &mut self.instances {
            read(instance, self.first, &self.records, usize::MAX);
        }
        self.check();
    }

    pub(crate) fn reference(&self) -> &Projection {
        &self.reference
    }

    fn operator(&self, at: u8) -> (&Projection, &'static str) {
        let at = usize::from(at) % OPERATORS.len();
        (&self.operators[at], OPERATORS[at])
    }

    fn append(&mut self, record: Record, delivery: Delivery) {
        let record = Arc::new(record);
        match delivery {
            Delivery::Immediate => self.push(record),
            Delivery::Delayed => self.delayed.push(record),
            Delivery::Duplicated => {
                self.delayed.push(record.clone());
                self.push(record);
            }
            Delivery::Lost => {}
        }
    }

    fn push(&mut self, record: Arc<Record>) {
        let offset = self.records.len() as u64;
        let before = self.reference.position();
        self.reference.apply(offset, &record);
        self.records.push(record);
        if self.reference.position() != before {
            self.order.extend(self.reference.position());
        }
    }

    fn check(&mut self) {
        for (instance, reached) in self.instances.iter().zip(&mut self.reached) {
            let Some(position) = instance.position() else {
                assert_eq!(*reached, None, "the instance lost its bundle in force");
                continue;
            };
            let index = self
                .order
                .iter()
                .position(|other| other.digest == position.digest);
            assert!(
                index.is_some(),
                "{position:?} was never in force in the log"
            );
            assert!(index >= *reached, "went back from {reached:?} to {index:?}");
            *reached = index;
        }
    }
}

fn read(projection: &mut Projection, first: usize, records: &[Arc<Record>], limit: usize) {
    projection.skip_to(first as u64);
    let from = projection.next() as usize;
    for (at, record) in records.iter().enumerate().skip(from).take(limit) {
        projection.apply(at as u64, record);
    }
}
