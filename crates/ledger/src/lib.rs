//! At-most-once calls, arbitrated by the platform's log.
//!
//! The order of the log decides who may make a call: the first claim of a slot wins, only its
//! holder calls, and the outcome is recorded after the claim. A claim never expires and never
//! passes to another holder, so a holder stays the only one however long it was paused.
//!
//! # Wiring
//!
//! - For each partition, the owning instance runs one [`owner::Owner`]. A driver carries out its
//!   actions against `platform::Log`, reports each result exactly once, and calls it again at
//!   [`owner::Owner::next_wakeup`]. Two owners of one partition are safe; they only cost more
//!   appends.
//! - For each call, the instance that serves the request runs one [`claim::Claim`] with a random
//!   nonce. Its `Submit` and `Lookup` actions go to the owner of the slot's partition
//!   ([`partition::for_slot`]), either as a message to a peer or to a local owner if no peer can
//!   be reached. A message that is lost or times out counts as [`owner::Verdict::UNANSWERED`]. A
//!   caller that asks another owner after the first gave no answer passes the second verdict
//!   through [`owner::Verdict::after_resend`]. The transport must not resend a message by itself:
//!   a claim that arrives twice is safe, but may hold its slot without a claimant.
//!   Verdicts come back as [`claim::Event::from_verdict`] and [`claim::Event::Found`].
//! - The driver reports [`claim::Event::CallWritten`] before it sends the first byte of the call,
//!   and sends it only on [`claim::Action::Write`]. An HTTP library that cannot tell when it
//!   writes gets the request only after that.
//! - All actions of one event are carried out. An `Answer` does not wait for a `Submit` beside it;
//!   the release or outcome in that `Submit` is resubmitted until it is recorded.
//! - A claim is dropped once [`claim::Claim::is_ended`] returns true. Until then it is called again
//!   at [`claim::Claim::next_wakeup`], also after its caller has been answered.
//!
//! # Examples
//!
//! ```
//! use base::{Code, Digest, Incarnation, Key, Stamp, Tick};
//! use ledger::{Now, claim, configs, owner, partition, record::Answer, slot::{Nonce, Slot}};
//!
//! let issued = Stamp::from_millis(1_000_000);
//! let now = Now { tick: Tick::from_millis(1), wall: issued };
//! let slot = Slot::new("adinkra", &Key::from_parts(issued, 7), "commission-ledger");
//! let mut owner = owner::Owner::new(configs::Owner::default(), partition::for_slot(&slot), None);
//! let mut claim = claim::Claim::new(
//!     configs::Claim::default(),
//!     claim::Call {
//!         slot,
//!         nonce: Nonce::from_random(42),
//!         holder: Incarnation::new("entry-1", issued),
//!         body: Digest::of(b"release deposit 12"),
//!         first: false,
//!     },
//! );
//!
//! // The claim submits a record; the owner, which has read the log, appends it.
//! owner.handle(now, owner::Event::Tick);
//! owner.handle(now, owner::Event::Page { first: 0, end: 0, records: Vec::new() });
//! let submit = claim.handle(now, claim::Event::Start);
//! let [claim::Action::Submit(record)] = submit.as_slice() else { panic!() };
//! owner.handle(now, owner::Event::Submit { token: 1, record: record.clone() });
//! let replies = owner.handle(now, owner::Event::Appended { offset: 0 });
//! let [owner::Action::Reply { verdict, .. }] = replies.as_slice() else { panic!() };
//! assert_eq!(*verdict, owner::Verdict::Won);
//!
//! // The winner calls, once.
//! let event = claim::Event::from_verdict(record, verdict.clone());
//! assert_eq!(claim.handle(now, event), [claim::Action::Prepare]);
//! assert_eq!(claim.handle(now, claim::Event::CallWritten), [claim::Action::Write]);
//! let answer = Answer::new(Code::Answered, "released", 3).unwrap();
//! let ended = claim.handle(now, claim::Event::CallAnswered(answer.clone()));
//! assert_eq!(ended[0], claim::Action::Answer(answer));
//! ```

pub mod claim;
pub mod configs;
pub mod owner;
pub mod partition;
pub mod projection;
pub mod record;
pub mod slot;

use base::{Stamp, Tick};

/// The current time, by both clocks of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// The monotonic clock, for intervals and timeouts.
    pub tick: Tick,
    /// The wall clock, for the age of keys.
    pub wall: Stamp,
}
