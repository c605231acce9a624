//! One instance: an owner, its claims, and what is under way for them.

use ledger::{
    claim, configs,
    owner::{self, Owner, Token},
};

use super::{Address, Ask};

/// A read in flight.
#[derive(Debug)]
pub(super) enum Read {
    Asked(u64),
    Served(owner::Event),
}

/// What was asked of an owner and has no answer.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) id: u64,
    pub(super) ask: Ask,
    /// Another owner was asked before, and may have taken it.
    pub(super) is_resent: bool,
}

/// A claim and the service's side of it.
#[derive(Debug)]
pub(crate) struct Driver {
    pub(super) claim: claim::Claim,
    pub(super) call: claim::Call,
    pub(super) asks: Vec<Pending>,
    pub(super) is_prepared: bool,
    pub(super) is_called: bool,
    pub(super) has_called: bool,
    pub(super) answer: Option<base::Code>,
}

impl Driver {
    pub(super) fn open(call: claim::Call) -> Self {
        let config = configs::Claim {
            max_resubmit_interval: core::time::Duration::from_secs(1),
            ..configs::Claim::default()
        };
        Self {
            claim: claim::Claim::new(config, call.clone()),
            call,
            asks: Vec::new(),
            is_prepared: false,
            is_called: false,
            has_called: false,
            answer: None,
        }
    }

    pub(super) fn is_attached(&self) -> bool {
        self.answer.is_none() && !self.has_called && !self.is_prepared
    }
}

#[derive(Debug)]
pub(super) struct Instance {
    pub(super) life: u64,
    pub(super) clock_error: u64,
    pub(super) is_paused: bool,
    pub(super) owner: Owner,
    pub(super) append: Option<String>,
    pub(super) read: Option<Read>,
    pub(super) tokens: Vec<(Token, Address, u64)>,
    pub(super) claims: Vec<Driver>,
}

impl Instance {
    pub(super) fn open(owner: Owner, clock_error: u64) -> Self {
        Self {
            life: 0,
            clock_error,
            is_paused: false,
            owner,
            append: None,
            read: None,
            tokens: Vec::new(),
            claims: Vec::new(),
        }
    }

    pub(super) fn take_token(&mut self, token: Token) -> (Address, u64) {
        let at = self.tokens.iter().position(|(other, ..)| *other == token);
        let (_, to, id) = self.tokens.swap_remove(at.expect("one reply to a token"));
        (to, id)
    }

    pub(super) fn take_ask(&mut self, id: u64) -> Option<(usize, Pending)> {
        for (at, driver) in self.claims.iter_mut().enumerate() {
            if let Some(ask) = driver.asks.iter().position(|ask| ask.id == id) {
                return Some((at, driver.asks.swap_remove(ask)));
            }
        }
        None
    }

    pub(super) fn asks(&self) -> Vec<u64> {
        let asks = self.claims.iter().flat_map(|driver| &driver.asks);
        asks.map(|ask| ask.id).collect()
    }

    pub(super) fn forget(&mut self) {
        self.claims.retain(|driver| !driver.claim.is_ended());
    }
}
