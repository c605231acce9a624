//! A prefix cache with limited memory, and a feed of its changes that lags and has gaps.

use core::time::Duration;
use std::{collections::VecDeque, time::Instant};

use base::Digest;
use serde::Serialize;

/// Bytes of a prompt in one block.
const BLOCK_BYTES: usize = 64;

/// Tokens in one block.
pub(super) const BLOCK_TOKENS: usize = 16;

/// The largest number of events kept.
const MAX_EVENTS: usize = 4_096;

pub(super) struct Cache {
    /// The least recently used first.
    blocks: VecDeque<Digest>,
    capacity: usize,
    events: VecDeque<(Instant, Event)>,
    event_gap: u64,
    next_number: u64,
}

/// One change of the cache.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    pub(super) number: u64,
    pub(super) change: Change,
    pub(super) block: Digest,
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Change {
    Evicted,
    Stored,
}

/// How much of a prompt was in the cache.
pub(super) struct Prefill {
    pub(super) cached_blocks: usize,
    pub(super) missing_blocks: usize,
}

impl Cache {
    pub(super) fn new(capacity: usize, event_gap: u64) -> Self {
        Self {
            blocks: VecDeque::new(),
            capacity,
            events: VecDeque::new(),
            event_gap,
            next_number: 0,
        }
    }

    pub(super) fn block_count(&self) -> usize {
        self.blocks.len()
    }

    pub(super) fn contains(&self, block: &Digest) -> bool {
        self.blocks.contains(block)
    }

    /// Reads a prompt into the cache and returns how much of it was cached.
    pub(super) fn prefill(&mut self, now: Instant, prompt: &str) -> Prefill {
        let blocks = block_digests(prompt);
        let cached_blocks = blocks
            .iter()
            .take_while(|block| self.contains(block))
            .count();
        for block in &blocks {
            self.store(now, *block);
        }
        Prefill {
            cached_blocks,
            missing_blocks: blocks.len() - cached_blocks,
        }
    }

    /// Stores a block as the most recently used one.
    pub(super) fn store(&mut self, now: Instant, block: Digest) {
        let known = self.blocks.iter().position(|known| *known == block);
        match known {
            Some(at) => {
                self.blocks.remove(at);
            }
            None => self.record_event(now, Change::Stored, block),
        }
        self.blocks.push_back(block);
        while self.blocks.len() > self.capacity {
            if let Some(evicted) = self.blocks.pop_front() {
                self.record_event(now, Change::Evicted, evicted);
            }
        }
    }

    /// Returns the events published so far, from a number on.
    pub(super) fn events(&self, now: Instant, lag: Duration, from: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|(at, event)| event.number >= from && now.duration_since(*at) >= lag)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn record_event(&mut self, now: Instant, change: Change, block: Digest) {
        let number = self.next_number;
        self.next_number += 1;
        if self.event_gap > 0 && self.next_number.is_multiple_of(self.event_gap) {
            return;
        }
        let event = Event {
            number,
            change,
            block,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns a digest per block of a prompt, each over the prompt up to the end of the block.
fn block_digests(prompt: &str) -> Vec<Digest> {
    let mut previous = Digest::default();
    prompt
        .as_bytes()
        .chunks(BLOCK_BYTES)
        .map(|block| {
            previous = Digest::of_parts(&[previous.as_bytes(), block]);
            previous
        })
        .collect()
}
