//! The service that this instance offers to its peers.

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
    config::{Config, GetProof},
    ledger::{Ledger, LookupHere, SubmitHere},
    roster::{Exchange, Roster, gather},
    suspects::{HandleTrial, Suspects},
};

/// Passes peers' calls to the actors.
pub(crate) struct Peers {
    pub(crate) tracker: Arc<Mutex<Tracker>>,
    pub(crate) config: Addr<Config>,
    pub(crate) ledger: Addr<Ledger>,
    pub(crate) roster: Addr<Roster>,
    pub(crate) suspects: Addr<Suspects>,
}

impl Handler for Peers {
    async fn exchange(&self, summary: Summary) -> Result<Summary, Error> {
        self.roster
            .send(Exchange(summary))
            .await
            .map_err(actor_stopped)
    }

    async fn fetch(&self, _: Want) -> Result<Proof, Error> {
        let proof = self.config.send(GetProof).await.map_err(actor_stopped)?;
        let proof = proof.ok_or_else(|| Error::Refused("no configuration is in force".into()))?;
        let content = serde_json::to_vec(&proof).map_err(|_| Error::Malformed("proof"))?;
        Ok(Proof { content })
    }

    async fn submit(&self, batch: Batch) -> Result<Verdicts, Error> {
        let mut verdicts = Verdicts::default();
        for record in batch.records {
            let parsed = parse(&record.json)?;
            let verdict = self
                .ledger
                .send(SubmitHere(parsed))
                .await
                .map_err(actor_stopped)?;
            verdicts.verdicts.push(to_verdict(record.token, &verdict)?);
        }
        Ok(verdicts)
    }

    async fn lookup(&self, slots: Slots) -> Result<Verdicts, Error> {
        let mut verdicts = Verdicts::default();
        for slot in slots.slots {
            let parsed = parse(&slot.json)?;
            let verdict = self
                .ledger
                .send(LookupHere(parsed))
                .await
                .map_err(actor_stopped)?;
            verdicts.verdicts.push(to_verdict(slot.token, &verdict)?);
        }
        Ok(verdicts)
    }

    async fn permit(&self, trial: Trial) -> Result<Grant, Error> {
        self.suspects
            .send(HandleTrial(trial))
            .await
            .map_err(actor_stopped)
    }

    async fn condense(&self, moment: Moment) -> Result<Part, Error> {
        let at = Stamp::from_millis(moment.at);
        let summary = gather::summarize(&self.tracker, at);
        Ok(Part {
            json: to_json(&summary)?,
        })
    }
}

/// Encodes a value as JSON for a message.
pub(crate) fn to_json(value: &impl Serialize) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|_| Error::Malformed("a record"))
}

/// Decodes a value from the JSON of a message.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|_| Error::Malformed("a record"))
}

fn to_verdict(token: u64, verdict: &Verdict) -> Result<wire::Verdict, Error> {
    Ok(wire::Verdict {
        token,
        json: to_json(verdict)?,
    })
}

fn actor_stopped(error: MailboxError) -> Error {
    Error::Unavailable(error.to_string())
}
