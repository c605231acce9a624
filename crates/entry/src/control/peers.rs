//! What this instance does for its peers.

use std::sync::{Arc, Mutex};

use actix::{Addr, MailboxError};
use base::Stamp;
use burn::Tracker;
use ledger::owner::Verdict;
use member::Summary;
use peer::{Error, Handler};
use serde::{Serialize, de::DeserializeOwned};
use wire::{Batch, Grant, Moment, Part, Proof, Slots, Trial, Verdicts, Want};

use crate::control::{
    config::{Config, Prove},
    ledger::{Ledger, LookupHere, SubmitHere},
    roster::{Exchange, Roster, gather},
    suspects::{Permit, Suspects},
};

/// Hands peers' calls to the actors.
pub(crate) struct Peers {
    pub(crate) tracker: Arc<Mutex<Tracker>>,
    pub(crate) config: Addr<Config>,
    pub(crate) ledger: Addr<Ledger>,
    pub(crate) roster: Addr<Roster>,
    pub(crate) suspects: Addr<Suspects>,
}

impl Handler for Peers {
    async fn exchange(&self, summary: Summary) -> Result<Summary, Error> {
        self.roster.send(Exchange(summary)).await.map_err(gone)
    }

    async fn fetch(&self, _: Want) -> Result<Proof, Error> {
        let proof = self.config.send(Prove).await.map_err(gone)?;
        let proof = proof.ok_or_else(|| Error::Refused("no configuration is in force".into()))?;
        let content = serde_json::to_vec(&proof).map_err(|_| Error::Malformed("proof"))?;
        Ok(Proof { content })
    }

    async fn submit(&self, batch: Batch) -> Result<Verdicts, Error> {
        let mut verdicts = Verdicts::default();
        for record in batch.records {
            let parsed = parse(&record.json)?;
            let verdict = self.ledger.send(SubmitHere(parsed)).await.map_err(gone)?;
            verdicts.verdicts.push(told(record.token, &verdict)?);
        }
        Ok(verdicts)
    }

    async fn lookup(&self, slots: Slots) -> Result<Verdicts, Error> {
        let mut verdicts = Verdicts::default();
        for slot in slots.slots {
            let parsed = parse(&slot.json)?;
            let verdict = self.ledger.send(LookupHere(parsed)).await.map_err(gone)?;
            verdicts.verdicts.push(told(slot.token, &verdict)?);
        }
        Ok(verdicts)
    }

    async fn permit(&self, trial: Trial) -> Result<Grant, Error> {
        self.suspects.send(Permit(trial)).await.map_err(gone)
    }

    async fn condense(&self, moment: Moment) -> Result<Part, Error> {
        let at = Stamp::from_millis(moment.at);
        let part = gather::condense(&self.tracker, at);
        Ok(Part { json: json(&part)? })
    }
}

/// Writes something as JSON, for a message.
pub(crate) fn json(value: &impl Serialize) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|_| Error::Malformed("a record"))
}

/// Reads something from the JSON of a message.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|_| Error::Malformed("a record"))
}

fn told(token: u64, verdict: &Verdict) -> Result<wire::Verdict, Error> {
    Ok(wire::Verdict {
        token,
        json: json(verdict)?,
    })
}

fn gone(error: MailboxError) -> Error {
    Error::Unavailable(error.to_string())
}
