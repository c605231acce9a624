//! From the records of the log to the bundle in force.
//!
//! Every reader that has seen the same records has the same state, whichever record it began at.
//! A reader that began after the log's head was dropped knows the state only from a
//! [`Record::Carry`] whose records from `as_of` on it has all seen; until then it keeps what it
//! read and decides nothing.

use std::sync::Arc;

use base::{Digest, Name};

pub use crate::event::Event;

use crate::{
    approval::{self, Approval, Fault, Proposal},
    chain::Chain,
    position::Position,
    proof::Proof,
    record::{Publish, Record, RollOut, SignOff},
    sheet::{Head, Sheet},
};

/// Open proposals kept; the oldest is dropped for a new one.
const PROPOSALS: usize = 32;

/// The state of one reader.
///
/// # Examples
///
/// ```
/// use bundle::{Fold, sign::Key};
/// let mut fold = Fold::open(vec![Key::example("author").public()]);
/// fold.seek(0);
/// assert!(fold.known() && fold.position().is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Fold {
    roots: Vec<Digest>,
    /// The first offset from which on no record was missed.
    start: u64,
    next: u64,
    known: bool,
    backlog: Vec<(u64, Record)>,
    /// What the log says.
    standing: Option<Standing>,
    pending: Vec<Proposal>,
    anchor: u64,
    /// What a peer's proof says, while it is ahead of what was read of the log.
    lead: Option<Lead>,
}

#[derive(Clone, Debug)]
struct Standing {
    chain: Chain,
    head: Head,
}

#[derive(Clone, Debug)]
struct Lead {
    proof: Proof,
}

impl Fold {
    /// Returns a reader that trusts the given root keys for the first bundle.
    pub fn open(roots: Vec<Digest>) -> Self {
        Self {
            roots,
            start: 0,
            next: 0,
            known: true,
            backlog: Vec::new(),
            standing: None,
            pending: Vec::new(),
            anchor: 0,
            lead: None,
        }
    }

    /// Takes note of the lowest offset that the log still keeps; call it for every page read.
    ///
    /// If records were dropped unread, the reader waits for a `Carry` and keeps its bundle.
    pub fn seek(&mut self, first: u64) {
        if first <= self.next {
            return;
        }
        self.start = first;
        self.next = first;
        self.known = false;
        self.backlog.clear();
        self.pending.clear();
    }

    /// Takes the text of a record in, as [`Self::apply`] does.
    pub fn apply_text(&mut self, offset: u64, text: &str) -> Vec<Event> {
        match Record::parse(text) {
            Ok(record) => self.apply(offset, &record),
            Err(error) => {
                if offset < self.next {
                    return Vec::new();
                }
                self.next = offset + 1;
                vec![Event::Refused {
                    offset,
                    author: Name::default(),
                    fault: Fault::Content(error.to_string()),
                }]
            }
        }
    }

    /// Takes a record in and returns what it did; a record seen before does nothing.
    ///
    /// Records must come in the order of their offsets, with none left out.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Vec<Event> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset + 1;
        if self.known {
            return self.act(offset, record);
        }
        if let Record::Carry(proof) = record
            && let Ok(events) = self.settle(proof)
        {
            return events;
        }
        self.backlog.push((offset, record.clone()));
        Vec::new()
    }

    /// Takes a peer's proof in and returns what it did.
    ///
    /// # Errors
    ///
    /// - The proof doesn't verify.
    /// - It has another content for the version in force.
    pub fn adopt(&mut self, proof: &Proof) -> Result<Vec<Event>, Fault> {
        let told = proof.position();
        if let Some(position) = self.position()
            && told.version == position.version
            && told.digest != position.digest
        {
            return Err(Fault::Conflict(told.version));
        }
        proof.authority(&self.roots)?;
        if !self.known
            && let Ok(events) = self.settle(proof)
        {
            return Ok(events);
        }
        if self
            .position()
            .is_some_and(|position| !told.follows(&position))
        {
            return Ok(Vec::new());
        }
        self.lead = Some(Lead {
            proof: proof.clone(),
        });
        Ok(vec![Event::InForce(told)])
    }

    /// Returns the position of the bundle in force for this reader.
    pub fn position(&self) -> Option<Position> {
        self.chain().map(Chain::position)
    }

    /// Returns the bundle in force for this reader, as it is written.
    pub fn sheet(&self) -> Option<&Arc<Sheet>> {
        self.chain().map(|chain| &chain.sheet)
    }

    /// Returns what to hand to a peer.
    pub fn proof(&self) -> Option<Proof> {
        match &self.lead {
            Some(lead) => Some(lead.proof.clone()),
            None => self.standing.as_ref().map(|standing| self.prove(standing)),
        }
    }

    /// Returns what to append as a `Carry`; none while the state of the log isn't known.
    pub fn carry(&self) -> Option<Proof> {
        let standing = self.standing.as_ref().filter(|_| self.known)?;
        Some(self.prove(standing))
    }

    /// Returns the offset that the log must keep so that a new reader can know the state.
    ///
    /// Once this offset has grown old, any instance appends a [`Self::carry`].
    pub fn anchor(&self) -> u64 {
        self.anchor
    }

    /// Tells whether the state of the log is known, as far as it was read.
    pub fn known(&self) -> bool {
        self.known
    }

    /// Returns the offset to read from.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the open proposals.
    pub fn pending(&self) -> &[Proposal] {
        &self.pending
    }

    /// Finds the open proposal with a digest.
    pub fn proposal(&self, digest: &Digest) -> Option<&Proposal> {
        self.place(digest).map(|at| &self.pending[at])
    }

    /// Returns the head of the bundle in force by the log.
    pub fn head(&self) -> Option<&Head> {
        self.standing.as_ref().map(|standing| &standing.head)
    }

    fn chain(&self) -> Option<&Chain> {
        match &self.lead {
            Some(lead) => Some(&lead.proof.chain),
            None => self.standing.as_ref().map(|standing| &standing.chain),
        }
    }

    fn prove(&self, standing: &Standing) -> Proof {
        Proof {
            as_of: self.next,
            chain: standing.chain.clone(),
            pending: self.pending.clone(),
        }
    }

    /// Takes over a state whose later records were all seen, then applies those.
    fn settle(&mut self, proof: &Proof) -> Result<Vec<Event>, Fault> {
        if proof.as_of < self.start || proof.as_of > self.next {
            return Err(Fault::Offset);
        }
        let head = proof.authority(&self.roots)?;
        if let Some(standing) = &self.standing
            && head.version < standing.head.version
        {
            return Err(Fault::Version(head.version));
        }
        let before = self.position();
        self.pending = open_proposals(proof, &head);
        self.standing = Some(Standing {
            chain: proof.chain.clone(),
            head,
        });
        self.known = true;
        self.anchor = self.anchor.max(proof.as_of);
        let mut events = vec![Event::Known];
        events.extend(self.announce(before));
        for (offset, record) in core::mem::take(&mut self.backlog) {
            if offset >= proof.as_of {
                events.extend(self.act(offset, &record));
            }
        }
        Ok(events)
    }

    fn act(&mut self, offset: u64, record: &Record) -> Vec<Event> {
        let (author, result) = match record {
            Record::Publish(publish) => (&publish.author, self.publish(offset, publish)),
            Record::SignOff(sign_off) => (&sign_off.signer, self.sign_off(offset, sign_off)),
            Record::RollOut(order) => (&order.author, self.roll_out(offset, order)),
            Record::Carry(proof) => return self.note_carry(offset, proof),
        };
        result.unwrap_or_else(|fault| {
            vec![Event::Refused {
                offset,
                author: author.clone(),
                fault,
            }]
        })
    }

    fn publish(&mut self, offset: u64, publish: &Publish) -> Result<Vec<Event>, Fault> {
        if self.place(&publish.digest).is_some() {
            return Ok(vec![Event::Repeated { offset }]);
        }
        self.check_base(publish.base)?;
        let proposal = read_proposal(publish)?;
        let head = read_head(&proposal.sheet)?;
        if let Some(old) = self.head() {
            if old.name != head.name {
                return Err(Fault::Deployment(head.name));
            }
            if head.version <= old.version {
                return Err(Fault::Version(head.version));
            }
        }
        proposal.approval.check(self.authority(&head)?)?;
        if self.pending.len() == PROPOSALS {
            self.pending.remove(0);
        }
        self.pending.push(proposal);
        Ok(vec![Event::Proposed {
            offset,
            digest: publish.digest,
            version: publish.version,
            author: publish.author.clone(),
        }])
    }

    fn sign_off(&mut self, offset: u64, sign_off: &SignOff) -> Result<Vec<Event>, Fault> {
        let at = self
            .place(&sign_off.digest)
            .ok_or(Fault::Proposal(sign_off.digest))?;
        let proposal = &self.pending[at];
        let head = read_head(&proposal.sheet)?;
        let authority = self.authority(&head)?;
        let mut approval = proposal.approval.clone();
        if approval
            .sign_offs
            .iter()
            .any(|other| other.signer == sign_off.signer)
        {
            return Ok(vec![Event::Repeated { offset }]);
        }
        approval.sign_offs.push(sign_off.clone());
        approval.sign_offs.sort_by(|a, b| a.signer.cmp(&b.signer));
        approval.check(authority)?;
        self.pending[at].approval = approval;
        Ok(vec![Event::Approved {
            offset,
            digest: sign_off.digest,
            signer: sign_off.signer.clone(),
        }])
    }

    fn roll_out(&mut self, offset: u64, order: &RollOut) -> Result<Vec<Event>, Fault> {
        if self.standing_digest() == Some(order.digest) {
            return Ok(vec![Event::Repeated { offset }]);
        }
        self.check_base(order.base)?;
        let at = self
            .place(&order.digest)
            .ok_or(Fault::Proposal(order.digest))?;
        let head = read_head(&self.pending[at].sheet)?;
        let authority = self.authority(&head)?;
        approval::check_roll_out(authority, order)?;
        self.pending[at].approval.check_count(authority)?;
        Ok(self.win(offset, order, at, head))
    }

    /// Puts a proposal in force. All others were made for the old base and can't win any more.
    fn win(&mut self, offset: u64, order: &RollOut, at: usize, head: Head) -> Vec<Event> {
        let before = self.position();
        let proposal = self.pending.swap_remove(at);
        self.pending.clear();
        let old = self
            .standing
            .as_ref()
            .map(|standing| (&standing.chain, &standing.head));
        let chain = Chain::extend(old, proposal, order.clone(), offset, &head);
        let position = chain.position();
        self.standing = Some(Standing { chain, head });
        let mut events = vec![Event::RolledOut {
            position,
            author: order.author.clone(),
            nonce: order.nonce,
        }];
        events.extend(self.announce(before));
        events
    }

    /// Drops a peer's proof that the log has reached and tells what changed for this reader.
    fn announce(&mut self, before: Option<Position>) -> Vec<Event> {
        let mut events = Vec::new();
        let log = self
            .standing
            .as_ref()
            .map(|standing| standing.chain.position());
        let peer = self.lead.as_ref().map(|lead| lead.proof.position());
        if let (Some(log), Some(peer)) = (log, peer) {
            if !peer.follows(&log) {
                self.lead = None;
            }
            if peer.version == log.version && peer.digest != log.digest {
                events.push(Event::Disagreed { peer, log });
            }
        }
        let now = self.position();
        if let Some(position) = now
            && before.map(|position| position.digest) != Some(position.digest)
        {
            events.push(Event::InForce(position));
        }
        events
    }

    fn note_carry(&mut self, offset: u64, proof: &Proof) -> Vec<Event> {
        let digest = proof.position().digest;
        if self.standing_digest() == Some(digest) && proof.as_of <= offset {
            self.anchor = self.anchor.max(proof.as_of);
        }
        vec![Event::Repeated { offset }]
    }

    fn check_base(&self, named: Option<Digest>) -> Result<(), Fault> {
        let force = self.standing_digest();
        if named != force {
            return Err(Fault::Base { named, force });
        }
        Ok(())
    }

    /// Returns the head whose signers count: that in force, or a first bundle's own.
    fn authority<'a>(&'a self, proposed: &'a Head) -> Result<&'a Head, Fault> {
        match self.head() {
            Some(head) => Ok(head),
            None => approval::check_roots(proposed, &self.roots).map(|()| proposed),
        }
    }

    fn place(&self, digest: &Digest) -> Option<usize> {
        self.pending
            .iter()
            .position(|proposal| proposal.approval.digest == *digest)
    }

    fn standing_digest(&self) -> Option<Digest> {
        self.standing
            .as_ref()
            .map(|standing| standing.chain.evidence.approval.digest)
    }
}

fn read_proposal(publish: &Publish) -> Result<Proposal, Fault> {
    let sheet = publish.content.read()?;
    if sheet.digest() != publish.digest {
        return Err(Fault::Digest);
    }
    if read_head(&sheet)?.version != publish.version {
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
        sheet: Arc::new(sheet),
    })
}

fn read_head(sheet: &Sheet) -> Result<Head, Fault> {
    sheet
        .head()
        .map_err(|error| Fault::Content(error.to_string()))
}

/// Returns the proposals of a proof that may still win.
fn open_proposals(proof: &Proof, head: &Head) -> Vec<Proposal> {
    let force = proof.position().digest;
    proof
        .pending
        .iter()
        .filter(|proposal| {
            proposal.approval.base == Some(force)
                && proposal.sheet.digest() == proposal.approval.digest
                && proposal.approval.check(head).is_ok()
        })
        .cloned()
        .collect()
}
