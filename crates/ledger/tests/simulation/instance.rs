//! One simulated instance: an owner, its claims, and their pending requests.

use ledger::{
    claim, configs,
    owner::{self, Owner, Token},
};

use super::{Address, Request};

/// A read in flight.
#[derive(Debug)]
pub(super) enum Read {
    /// The log has not served the read yet; holds the first offset to read.
    Asked(u64),
    /// The log has served the read, and the owner has not received the page yet.
    Served(owner::Event),
}

/// A request to an owner without an answer.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) id: u64,
    pub(super) request: Request,
    /// Whether the request went to another owner before, which may have accepted it.
    pub(super) is_resent: bool,
}

/// A claim and the state of its call.
#[derive(Debug)]
pub(crate) struct Driver {
    pub(super) claim: claim::Claim,
    pub(super) call: claim::Call,
    pub(super) requests: Vec<Pending>,
    /// Whether the call is prepared and not yet written or failed.
    pub(super) is_prepared: bool,
    /// Whether the call was written and its result has not been reported yet.
    pub(super) is_called: bool,
    /// Whether the service has received the call, also after its result was reported.
    pub(super) has_called: bool,
    /// The code that the caller was answered with.
    pub(super) answer: Option<base::Code>,
}

impl Driver {
    pub(super) fn new(call: claim::Call) -> Self {
        let config = configs::Claim {
            max_resubmit_interval: core::time::Duration::from_secs(1),
            ..configs::Claim::default()
        };
        Self {
            claim: claim::Claim::new(config, call.clone()),
            call,
            requests: Vec::new(),
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
    pub(super) generation: u64,
    pub(super) clock_error: u64,
    pub(super) is_paused: bool,
    pub(super) owner: Owner,
    pub(super) append: Option<String>,
    pub(super) read: Option<Read>,
    pub(super) tokens: Vec<(Token, Address, u64)>,
    pub(super) claims: Vec<Driver>,
}

impl Instance {
    pub(super) fn new(owner: Owner, clock_error: u64) -> Self {
        Self {
            generation: 0,
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

    pub(super) fn take_request(&mut self, id: u64) -> Option<(usize, Pending)> {
        for (at, driver) in self.claims.iter_mut().enumerate() {
            if let Some(request) = driver.requests.iter().position(|request| request.id == id) {
                return Some((at, driver.requests.swap_remove(request)));
            }
        }
        None
    }

    pub(super) fn requests(&self) -> Vec<u64> {
        let requests = self.claims.iter().flat_map(|driver| &driver.requests);
        requests.map(|request| request.id).collect()
    }

    pub(super) fn remove_ended(&mut self) {
        self.claims.retain(|driver| !driver.claim.is_ended());
    }
}
