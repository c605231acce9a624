//! Explores all interleavings of two and of three operators and compares the winners with an
//! independent implementation of the rules.

mod simulation;

use std::collections::HashSet;

use base::Digest;
use bundle::{Event, Projection, Record};
use googletest::prelude::*;
use simulation::{OPERATORS, publish, roll_out, roots, sign_off};

/// The number of actions in an operator's script.
const SCRIPT: usize = 4;

/// A state of the exploration.
#[derive(Clone)]
struct State {
    log: Vec<Record>,
    /// The projection of the log.
    projection: Projection,
    won: Vec<Digest>,
    /// The digest over the log.
    digest: Digest,
    /// The next action of each operator.
    next_action: Vec<usize>,
    /// The log as each operator last read it.
    views: Vec<Projection>,
    /// The number of duplicate records still to append.
    repeats: usize,
}

impl State {
    fn new(operators: usize, repeats: usize) -> Self {
        let projection = Projection::new(roots());
        Self {
            log: Vec::new(),
            won: Vec::new(),
            digest: Digest::default(),
            next_action: vec![0; operators],
            views: vec![projection.clone(); operators],
            projection,
            repeats,
        }
    }

    fn key(&self) -> (Digest, Vec<usize>, Vec<u64>, usize) {
        let views = self.views.iter().map(Projection::next).collect();
        (self.digest, self.next_action.clone(), views, self.repeats)
    }

    fn append(&mut self, record: Record) {
        for event in self.projection.apply(self.projection.next(), &record) {
            if let Event::RolledOut { position, .. } = event {
                self.won.push(position.digest);
            }
        }
        let text = record.to_json();
        self.digest = Digest::of_parts(&[self.digest.as_bytes(), text.as_bytes()]);
        self.log.push(record);
    }

    /// Executes an operator's next action: read the log, propose, sign off another's proposal, roll out.
    fn act(&self, at: usize) -> Self {
        let mut next = self.clone();
        let name = OPERATORS[at];
        let action = next.next_action[at] % SCRIPT;
        // As in practice, the roll-out is based on what the operator read before the sign-off.
        if action != 3 {
            next.views[at] = self.projection.clone();
        }
        let view = &next.views[at];
        let record = match action {
            0 => None,
            1 => Some(publish(view, name, at as u64, at == 0)),
            2 => sign_off(view, name, 0),
            _ => roll_out(view, name, 0, at as u64),
        };
        if let Some(record) = record {
            next.append(record);
        }
        next.next_action[at] += 1;
        next
    }

    fn repeat(&self) -> Option<Self> {
        let last = self.log.last().filter(|_| self.repeats > 0)?.clone();
        let mut next = self.clone();
        next.append(last);
        next.repeats -= 1;
        Some(next)
    }
}

/// Returns the digests of the roll-outs that take effect, by the documented rules.
fn winners(log: &[Record]) -> Vec<Digest> {
    let mut won = Vec::new();
    let mut open: Vec<(Digest, &str, HashSet<&str>)> = Vec::new();
    for record in log {
        let in_force = won.last().copied();
        match record {
            Record::Publish(one) if one.base == in_force => {
                let is_open = open.iter().any(|(digest, ..)| *digest == one.digest);
                if !is_open {
                    open.push((one.digest, one.author.as_str(), HashSet::new()));
                }
            }
            Record::SignOff(one) => {
                for (digest, author, signers) in &mut open {
                    if *digest == one.digest && *author != one.signer.as_str() {
                        signers.insert(one.signer.as_str());
                    }
                }
            }
            Record::RollOut(one) if one.base == in_force => {
                let is_approved = |(digest, _, signers): &(_, _, HashSet<&str>)| {
                    *digest == one.digest && !signers.is_empty()
                };
                if open.iter().any(is_approved) {
                    won.push(one.digest);
                    open.clear();
                }
            }
            _ => {}
        }
    }
    won
}

/// Visits every state and returns their number and the maximum number of winners in one of them.
fn explore(operators: usize, rounds: usize, repeats: usize) -> (usize, usize) {
    let mut seen = HashSet::new();
    let mut most = 0;
    let mut open = vec![State::new(operators, repeats)];
    while let Some(state) = open.pop() {
        if !seen.insert(state.key()) {
            continue;
        }
        assert_eq!(state.won, winners(&state.log));
        most = most.max(state.won.len());
        let ready = (0..operators).filter(|at| state.next_action[*at] < rounds * SCRIPT);
        open.extend(ready.map(|at| state.act(at)));
        open.extend(state.repeat());
    }
    (seen.len(), most)
}

#[gtest]
fn two_operators_with_two_rounds_and_a_duplicate_record() {
    // Three of the four roll-outs can win: the first one and one more by each operator.
    expect_that!(explore(2, 2, 1), eq((42_010, 3)));
}

#[gtest]
fn three_operators_with_one_round() {
    expect_that!(explore(3, 1, 0), eq((5_942, 2)));
}
