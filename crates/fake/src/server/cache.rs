//! A prefix cache with limited memory and a late, gappy record of its changes.

use core::time::Duration;
use std::{collections::VecDeque, time::Instant};

use base::Digest;
use serde::Serialize;

/// Bytes of a prompt in one block.
const BLOCK_BYTES: usize = 64;

/// Tokens that one block stands for.
pub(super) const BLOCK_TOKENS: usize = 16;

/// Events kept.
const EVENTS: usize = 4_096;

pub(super) struct Cache {
    /// The least recently used first.
    blocks: VecDeque<Digest>,
    capacity: usize,
    events: VecDeque<(Instant, Event)>,
    gap: u64,
    next: u64,
}

/// One change of the cache.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    pub(super) number: u64,
    pub(super) change: Change,
    pub(super) block: Digest,
}

/// What became of a block.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Change {
    Evicted,
    Stored,
}

/// How much of a prompt was in the cache.
pub(super) struct Prefill {
    pub(super) cached: usize,
    pub(super) missing: usize,
}

impl Cache {
    pub(super) fn new(capacity: usize, gap: u64) -> Self {
        Self {
            blocks: VecDeque::new(),
            capacity,
            events: VecDeque::new(),
            gap,
            next: 0,
        }
    }

    pub(super) fn used(&self) -> usize {
        self.blocks.len()
    }

    pub(super) fn contains(&self, block: &Digest) -> bool {
        self.blocks.contains(block)
    }

    /// Reads a prompt into the cache and returns how much of it was there.
    pub(super) fn prefill(&mut self, now: Instant, prompt: &str) -> Prefill {
        let blocks = chain(prompt);
        let cached = blocks
            .iter()
            .take_while(|block| self.contains(block))
            .count();
        for block in &blocks {
            self.store(now, *block);
        }
        Prefill {
            cached,
            missing: blocks.len() - cached,
        }
    }

    /// Puts a block in the most recent place.
    pub(super) fn store(&mut self, now: Instant, block: Digest) {
        let known = self.blocks.iter().position(|known| *known == block);
        match known {
            Some(at) => {
                self.blocks.remove(at);
            }
            None => self.note(now, Change::Stored, block),
        }
        self.blocks.push_back(block);
        while self.blocks.len() > self.capacity {
            if let Some(evicted) = self.blocks.pop_front() {
                self.note(now, Change::Evicted, evicted);
            }
        }
    }

    /// Returns the events published by now, from a number on.
    pub(super) fn events(&self, now: Instant, lag: Duration, from: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|(at, event)| event.number >= from && now.duration_since(*at) >= lag)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn note(&mut self, now: Instant, change: Change, block: Digest) {
        let number = self.next;
        self.next += 1;
        if self.gap > 0 && self.next.is_multiple_of(self.gap) {
            return;
        }
        let event = Event {
            number,
            change,
            block,
        };
        self.events.push_back((now, event));
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}

/// Names each block of a prompt by everything up to its end.
fn chain(prompt: &str) -> Vec<Digest> {
    let mut before = Digest::default();
    prompt
        .as_bytes()
        .chunks(BLOCK_BYTES)
        .map(|block| {
            before = Digest::of_parts(&[before.as_bytes(), block]);
            before
        })
        .collect()
}
