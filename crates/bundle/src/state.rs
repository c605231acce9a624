//! The state that results from the records of the log, for a reader that missed none of them.

use std::sync::Arc;

use base::Digest;

use crate::{
    approval::{self, Approval, Fault, Proposal},
    chain::Chain,
    document::{Document, Head},
    event::Event,
    proof::Proof,
    record::{Publish, Record, RollOut, SignOff},
};

/// The maximum number of open proposals; a new one then evicts the oldest.
const MAX_PROPOSALS: usize = 32;

/// The state that results from the records of the log.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) roots: Vec<Digest>,
    pub(crate) in_force: Option<InForce>,
    pub(crate) pending: Vec<Proposal>,
}

/// The bundle in force.
#[derive(Clone, Debug)]
pub(crate) struct InForce {
    pub(crate) chain: Chain,
    pub(crate) head: Head,
}

impl State {
    pub(crate) fn new(roots: Vec<Digest>) -> Self {
        Self {
            roots,
            in_force: None,
            pending: Vec::new(),
        }
    }

    /// Replaces the state by that of a proof.
    ///
    /// # Errors
    ///
    /// - The proof doesn't verify.
    /// - It has an older version than the state.
    pub(crate) fn restore(&mut self, proof: &Proof) -> Result<(), Fault> {
        let head = proof.verify_head(&self.roots)?;
        if let Some(old) = self.head()
            && head.version < old.version
        {
            return Err(Fault::Version(head.version));
        }
        self.pending = open_proposals(proof, &head);
        self.in_force = Some(InForce {
            chain: proof.chain.clone(),
            head,
        });
        Ok(())
    }

    /// Applies the next record.
    pub(crate) fn apply(&mut self, offset: u64, record: &Record) -> Event {
        let (author, result) = match record {
            Record::Publish(publish) => (&publish.author, self.publish(offset, publish)),
            Record::SignOff(sign_off) => (&sign_off.signer, self.sign_off(offset, sign_off)),
            Record::RollOut(order) => (&order.author, self.roll_out(offset, order)),
            Record::Carry(_) => return Event::Repeated { offset },
        };
        result.unwrap_or_else(|fault| Event::Refused {
            offset,
            author: author.clone(),
            fault,
        })
    }

    pub(crate) fn head(&self) -> Option<&Head> {
        self.in_force.as_ref().map(|in_force| &in_force.head)
    }

    pub(crate) fn digest(&self) -> Option<Digest> {
        self.in_force
            .as_ref()
            .map(|in_force| in_force.chain.evidence.approval.digest)
    }

    pub(crate) fn proposal_index(&self, digest: &Digest) -> Option<usize> {
        self.pending
            .iter()
            .position(|proposal| proposal.approval.digest == *digest)
    }

    fn publish(&mut self, offset: u64, publish: &Publish) -> Result<Event, Fault> {
        if self.proposal_index(&publish.digest).is_some() {
            return Ok(Event::Repeated { offset });
        }
        self.check_base(publish.base)?;
        let base = self
            .in_force
            .as_ref()
            .map(|old| old.chain.document.as_ref());
        let proposal = read_proposal(publish, base)?;
        let head = read_head(&proposal.document)?;
        self.check_successor(&head)?;
        proposal.approval.check(self.authority(&head)?)?;
        if self.pending.len() == MAX_PROPOSALS {
            self.pending.remove(0);
        }
        self.pending.push(proposal);
        Ok(Event::Proposed {
            offset,
            digest: publish.digest,
            version: publish.version,
            author: publish.author.clone(),
        })
    }

    fn sign_off(&mut self, offset: u64, sign_off: &SignOff) -> Result<Event, Fault> {
        let at = self.require_proposal(&sign_off.digest)?;
        let proposal = &self.pending[at];
        let signer = &sign_off.signer;
        let existing = &proposal.approval.sign_offs;
        if existing.iter().any(|other| other.signer == *signer) {
            return Ok(Event::Repeated { offset });
        }
        let head = read_head(&proposal.document)?;
        let mut approval = proposal.approval.clone();
        approval.sign_offs.push(sign_off.clone());
        approval.sign_offs.sort_by(|a, b| a.signer.cmp(&b.signer));
        approval.check(self.authority(&head)?)?;
        self.pending[at].approval = approval;
        Ok(Event::Approved {
            offset,
            digest: sign_off.digest,
            signer: signer.clone(),
        })
    }

    fn roll_out(&mut self, offset: u64, order: &RollOut) -> Result<Event, Fault> {
        if self.digest() == Some(order.digest) {
            return Ok(Event::Repeated { offset });
        }
        self.check_base(order.base)?;
        let at = self.require_proposal(&order.digest)?;
        let head = read_head(&self.pending[at].document)?;
        let authority = self.authority(&head)?;
        approval::check_roll_out(authority, order)?;
        self.pending[at].approval.check_count(authority)?;
        Ok(self.put_in_force(offset, order, at, head))
    }

    /// Puts a proposal in force and drops all others, which are based on the replaced bundle.
    fn put_in_force(&mut self, offset: u64, order: &RollOut, at: usize, head: Head) -> Event {
        let proposal = self.pending.swap_remove(at);
        self.pending.clear();
        let old = self.in_force.as_ref().map(|old| (&old.chain, &old.head));
        let chain = Chain::extend(old, proposal, order.clone(), offset, &head);
        let position = chain.position();
        self.in_force = Some(InForce { chain, head });
        Event::RolledOut {
            position,
            author: order.author.clone(),
            nonce: order.nonce,
        }
    }

    fn check_base(&self, named: Option<Digest>) -> Result<(), Fault> {
        let in_force = self.digest();
        if named != in_force {
            return Err(Fault::Base { named, in_force });
        }
        Ok(())
    }

    fn check_successor(&self, head: &Head) -> Result<(), Fault> {
        match self.head() {
            Some(old) if old.name != head.name => Err(Fault::Deployment(head.name.clone())),
            Some(old) if head.version <= old.version => Err(Fault::Version(head.version)),
            _ => Ok(()),
        }
    }

    /// Returns the head whose signers may sign: that in force, or for a first bundle its own.
    fn authority<'a>(&'a self, proposed: &'a Head) -> Result<&'a Head, Fault> {
        match self.head() {
            Some(head) => Ok(head),
            None => approval::check_roots(proposed, &self.roots).map(|()| proposed),
        }
    }

    fn require_proposal(&self, digest: &Digest) -> Result<usize, Fault> {
        self.proposal_index(digest).ok_or(Fault::Proposal(*digest))
    }
}

fn read_proposal(publish: &Publish, base: Option<&Document>) -> Result<Proposal, Fault> {
    let document = publish.content.to_document(base)?;
    if document.digest() != publish.digest {
        return Err(Fault::Digest);
    }
    if read_head(&document)?.version != publish.version {
        return Err(Fault::Version(publish.version));
    }
    Ok(Proposal {
        approval: Approval {
            version: publish.version,
            base: publish.base,
            digest: publish.digest,
            author: publish.author.clone(),
            signature: publish.signature,
            sign_offs: Vec::new(),
        },
        document: Arc::new(document),
    })
}

fn read_head(document: &Document) -> Result<Head, Fault> {
    document
        .head()
        .map_err(|error| Fault::Content(error.to_string()))
}

/// Returns the valid proposals of a proof that are based on its bundle in force.
fn open_proposals(proof: &Proof, head: &Head) -> Vec<Proposal> {
    let in_force = proof.position().digest;
    let is_open = |proposal: &&Proposal| {
        proposal.approval.base == Some(in_force)
            && proposal.document.digest() == proposal.approval.digest
            && proposal.approval.check(head).is_ok()
    };
    proof.pending.iter().filter(is_open).cloned().collect()
}
