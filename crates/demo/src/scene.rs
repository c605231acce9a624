//! What each user's callers send.

use std::error::Error;

use serde_json::Value;
use uuid::Uuid;

use crate::{
    caller::{Caller, Message},
    deployment::Deployment,
};

/// The number that stands for a whole answer.
const ANSWERED: u64 = 100;

/// The number that stands for a request stored and not answered yet.
const STORED: u64 = 101;

/// Plays the scene of a deployment's user and tells whether every answer was right.
pub(crate) async fn play(deployment: &Deployment, caller: &Caller) -> Result<bool, Box<dyn Error>> {
    match deployment.name().as_str() {
        "adinkra" => play_adinkra(deployment, caller).await,
        _ => play_compas(deployment, caller).await,
    }
}

async fn play_adinkra(deployment: &Deployment, caller: &Caller) -> Result<bool, Box<dyn Error>> {
    let brief = Message {
        account: "authors",
        key: None,
        pipeline: "brief",
        text: "a picture book about the Volta lake",
    };
    let summary = Message {
        pipeline: "manuscript-summary",
        text: "Once upon a time, a kite flew over Kumasi.",
        ..brief
    };
    let deposit = Message {
        key: Some(Uuid::now_v7()),
        pipeline: "deposit-release",
        text: "deposit 12, artist 7",
        ..brief
    };
    let report = Message {
        key: Some(Uuid::now_v7()),
        pipeline: "manuscript-report",
        ..summary
    };
    let mut right = show(&brief, &caller.send(&brief).await?);
    right &= show_stored(&report, &caller.send(&report).await?);
    right &= show(&report, &caller.wait(&report).await?);
    right &= show(&summary, &caller.send(&summary).await?);
    let first = caller.send(&deposit).await?;
    right &= show(&deposit, &first);
    let second = caller.send(&deposit).await?;
    right &= show(&deposit, &second) && first["output"] == second["output"];
    Ok(right & show_runs(deployment, "commission-ledger", "release", &deposit).await?)
}

async fn play_compas(deployment: &Deployment, caller: &Caller) -> Result<bool, Box<dyn Error>> {
    let registration = Message {
        account: "regional-bands",
        key: Some(Uuid::now_v7()),
        pipeline: "contest-registration",
        text: "band 31, 24 players",
    };
    let scoring = Message {
        account: "adjudicators",
        key: None,
        pipeline: "scoring-summary",
        text: "band 31: tone 8, rhythm 9",
    };
    let status = Message {
        account: "stewards",
        pipeline: "status",
        text: "band 31",
        ..scoring
    };
    let mut right = show(&registration, &caller.send(&registration).await?);
    right &= show_runs(deployment, "entries-api", "register", &registration).await?;
    right &= show(&scoring, &caller.stream(&scoring).await?);
    right &= show(&status, &caller.send(&status).await?);
    Ok(right)
}

/// Prints an answer and tells whether it is whole.
fn show(message: &Message<'_>, answer: &Value) -> bool {
    let (code, outcome) = (&answer["code"], text(&answer["outcome"]));
    println!("{}: {code} {outcome}", message.pipeline);
    for stage in answer["stages"].as_array().into_iter().flatten() {
        println!(
            "   {:<12} {:>8.2} ms  cost {:.4}  attempts {}",
            text(&stage["name"]),
            stage["took_ms"].as_f64().unwrap_or_default(),
            stage["cost"].as_f64().unwrap_or_default(),
            stage["attempts"],
        );
    }
    if let Some(detail) = answer["detail"].as_str() {
        println!("   {detail}");
    }
    answer["code"].as_u64() == Some(ANSWERED)
}

/// Prints that a request was stored, and tells whether it was.
fn show_stored(message: &Message<'_>, answer: &Value) -> bool {
    let (code, outcome) = (&answer["code"], text(&answer["outcome"]));
    println!("{}: {code} {outcome}, stored in the log", message.pipeline);
    answer["code"].as_u64() == Some(STORED)
}

/// Prints how often the backend servers ran a call, by their own count.
async fn show_runs(
    deployment: &Deployment,
    pool: &str,
    operation: &str,
    message: &Message<'_>,
) -> Result<bool, Box<dyn Error>> {
    let Some(key) = message.key else {
        return Ok(true);
    };
    let mut runs = 0;
    for url in deployment.urls(pool) {
        let asked = awc::Client::default().get(format!("{url}/v1/runs/{key}"));
        let mut response = asked.send().await?;
        let counted: Value = response.json().await?;
        for run in counted["runs"].as_array().into_iter().flatten() {
            if text(&run["operation"]) == operation {
                runs += run["count"].as_u64().unwrap_or_default();
            }
        }
    }
    println!("   runs of '{operation}' counted by {pool}: {runs}");
    Ok(runs == 1)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
