//! A log, operators and instances, driven one step at a time.
#![allow(dead_code)] // Each test binary uses a part.

use core::time::Duration;
use std::sync::Arc;

use base::{Digest, Stamp};
use bundle::{
    Document, Fold, Position, Record,
    delta::Delta,
    record::{Content, Publish, RollOut, SignOff},
    sign::{Key, Message},
};

pub(crate) const OPERATORS: [&str; 3] = ["ana", "ben", "eva"];

/// Returns the public keys of all operators.
pub(crate) fn roots() -> Vec<Digest> {
    OPERATORS.map(|name| Key::example(name).public()).to_vec()
}

/// Writes a bundle of a version; `mark` tells bundles of one version apart.
pub(crate) fn text(version: u64, mark: u64) -> String {
    let mut text = format!("name = \"trial\"\nversion = {version}\n");
    for name in OPERATORS {
        let public = Key::example(name).public();
        text.push_str(&format!(
            "[[signers]]\nname = \"{name}\"\npublic_key = \"{public}\"\n"
        ));
    }
    text.push_str(&format!(
        "[[pools]]\nname = \"pool\"\nkind = \"service\"\nconcurrency = {}\n",
        mark + 1
    ));
    text
}

/// Proposes a bundle on what a reader has in force.
pub(crate) fn publish(view: &Fold, author: &str, mark: u64, delta: bool) -> Record {
    let base = view.position();
    let version = base.map_or(0, |base| base.version) + 1;
    let text = text(version, mark);
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

/// Signs the first open proposal that is not the signer's own.
pub(crate) fn sign_off(view: &Fold, signer: &str, at: usize) -> Option<Record> {
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

/// Orders the roll-out of an open proposal.
pub(crate) fn roll_out(view: &Fold, author: &str, at: usize, nonce: u64) -> Option<Record> {
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

/// One step of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// An operator reads the log.
    Look { operator: u8 },
    /// An operator proposes on what they last read.
    Publish {
        operator: u8,
        mark: u8,
        delta: bool,
        fate: Fate,
    },
    /// An operator signs off.
    SignOff { operator: u8, at: u8, fate: Fate },
    /// An operator rolls out.
    RollOut { operator: u8, at: u8, fate: Fate },
    /// A late append arrives.
    Arrive { at: u8 },
    /// An instance reads some records.
    Read { instance: u8, records: u8 },
    /// An instance takes a peer's proof.
    Adopt { instance: u8, peer: u8 },
    /// An instance is replaced and knows nothing.
    Restart { instance: u8 },
    /// An instance is replaced and goes on from a peer's proof.
    Resume { instance: u8, peer: u8 },
    /// An instance carries the state forward.
    Carry { instance: u8, fate: Fate },
    /// An operator changes the bundle from start to end.
    Advance { operator: u8, mark: u8, delta: bool },
    /// Two operators change the bundle at once; the one named orders the roll-out first.
    Race { first: u8, delta: bool },
    /// The log drops records.
    Drop { records: u8 },
}

/// What becomes of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It takes effect at once.
    Now,
    /// It takes effect later.
    Later,
    /// It takes effect now and once more later.
    Twice,
    /// It never takes effect.
    Never,
}

/// A log with operators and instances.
#[derive(Debug)]
pub(crate) struct World {
    first: usize,
    records: Vec<Arc<Record>>,
    late: Vec<Arc<Record>>,
    operators: Vec<Fold>,
    pub(crate) instances: Vec<Fold>,
    reference: Fold,
    /// Every position in the order of the log.
    pub(crate) order: Vec<Position>,
    /// The last place in the order of each instance in this life.
    reached: Vec<Option<usize>>,
    nonce: u64,
}

impl World {
    pub(crate) fn open(instances: usize) -> Self {
        let fresh = Fold::open(roots());
        Self {
            first: 0,
            records: Vec::new(),
            late: Vec::new(),
            operators: vec![fresh.clone(); OPERATORS.len()],
            instances: vec![fresh.clone(); instances],
            reference: fresh,
            order: Vec::new(),
            reached: vec![None; instances],
            nonce: 0,
        }
    }

    /// Takes one step and checks that every instance is at a place of the one order.
    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Look { operator } => {
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
                mark,
                delta,
                fate,
            } => {
                let (view, name) = self.operator(operator);
                if view.is_synced() {
                    let record = publish(view, name, u64::from(mark), delta);
                    self.append(record, fate);
                }
            }
            Step::SignOff { operator, at, fate } => {
                let (view, name) = self.operator(operator);
                if let Some(record) = sign_off(view, name, usize::from(at)) {
                    self.append(record, fate);
                }
            }
            Step::RollOut { operator, at, fate } => {
                self.nonce += 1;
                let (view, name) = self.operator(operator);
                if let Some(record) = roll_out(view, name, usize::from(at), self.nonce) {
                    self.append(record, fate);
                }
            }
            Step::Arrive { at } => {
                if !self.late.is_empty() {
                    let record = self.late.remove(usize::from(at) % self.late.len());
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
                self.instances[at] = Fold::open(roots());
                self.reached[at] = None;
            }
            Step::Resume { instance, peer } => {
                let at = usize::from(instance) % self.instances.len();
                let peer = usize::from(peer) % self.instances.len();
                if let Some(proof) = self.instances[peer].proof() {
                    self.instances[at] = Fold::resume(roots(), &proof).unwrap();
                    self.reached[at] = None;
                }
            }
            Step::Carry { instance, fate } => {
                let at = usize::from(instance) % self.instances.len();
                let now = Stamp::from_millis(1);
                if let Some(carry) = self.instances[at].carry(now, Duration::ZERO) {
                    self.append(Record::Carry(Box::new(carry)), fate);
                }
            }
            Step::Advance {
                operator,
                mark,
                delta,
            } => self.advance(operator, mark, delta),
            Step::Race { first, delta } => self.race(first, delta),
            Step::Drop { records } => {
                self.first = self.records.len().min(self.first + usize::from(records));
            }
        }
        self.check();
    }

    fn advance(&mut self, operator: u8, mark: u8, delta: bool) {
        let fate = Fate::Now;
        let other = operator + 1;
        self.step(Step::Look { operator });
        self.step(Step::Publish {
            operator,
            mark,
            delta,
            fate,
        });
        self.step(Step::Look { operator: other });
        self.step(Step::SignOff {
            operator: other,
            at: mark,
            fate,
        });
        self.step(Step::Look { operator: other });
        self.step(Step::RollOut {
            operator: other,
            at: mark,
            fate,
        });
    }

    fn race(&mut self, first: u8, delta: bool) {
        let fate = Fate::Now;
        let pair = [first, first + 1];
        for operator in pair {
            self.step(Step::Look { operator });
        }
        for operator in pair {
            let mark = operator % 3;
            self.step(Step::Publish {
                operator,
                mark,
                delta,
                fate,
            });
        }
        for operator in pair {
            self.step(Step::Look { operator });
            self.step(Step::SignOff {
                operator,
                at: 0,
                fate,
            });
        }
        for operator in pair {
            self.step(Step::Look { operator });
        }
        for (at, operator) in (0..).zip(pair) {
            self.step(Step::RollOut { operator, at, fate });
        }
    }

    /// Lets every instance read to the end.
    pub(crate) fn read_all(&mut self) {
        for instance in &mut self.instances {
            read(instance, self.first, &self.records, usize::MAX);
        }
        self.check();
    }

    pub(crate) fn reference(&self) -> &Fold {
        &self.reference
    }

    fn operator(&self, at: u8) -> (&Fold, &'static str) {
        let at = usize::from(at) % OPERATORS.len();
        (&self.operators[at], OPERATORS[at])
    }

    fn append(&mut self, record: Record, fate: Fate) {
        let record = Arc::new(record);
        match fate {
            Fate::Now => self.push(record),
            Fate::Later => self.late.push(record),
            Fate::Twice => {
                self.late.push(record.clone());
                self.push(record);
            }
            Fate::Never => {}
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
                assert_eq!(*reached, None, "a bundle was in force and is no more");
                continue;
            };
            let place = self
                .order
                .iter()
                .position(|other| other.digest == position.digest);
            assert!(
                place.is_some(),
                "{position:?} was never in force in the log"
            );
            assert!(place >= *reached, "went back from {reached:?} to {place:?}");
            *reached = place;
        }
    }
}

fn read(fold: &mut Fold, first: usize, records: &[Arc<Record>], limit: usize) {
    fold.skip_to(first as u64);
    let from = fold.next() as usize;
    for (at, record) in records.iter().enumerate().skip(from).take(limit) {
        fold.apply(at as u64, record);
    }
}
