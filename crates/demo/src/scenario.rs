//! The requests that the demo sends to each deployment.

use std::error::Error;

use serde_json::Value;
use uuid::Uuid;

use crate::{
    caller::{Caller, Message},
    deployment::Deployment,
};

/// The result code of a complete answer.
const ANSWERED_CODE: u64 = 100;

/// The result code of a request that is stored and not answered yet.
const STORED_CODE: u64 = 101;

/// Runs a deployment's scenario and returns whether every answer was as expected.
pub(crate) async fn run(deployment: &Deployment, caller: &Caller) -> Result<bool, Box<dyn Error>> {
    match deployment.name().as_str() {
        "adinkra" => run_adinkra(deployment, caller).await,
        _ => run_compas(deployment, caller).await,
    }
}

async fn run_adinkra(deployment: &Deployment, caller: &Caller) -> Result<bool, Box<dyn Error>> {
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
    let mut is_correct = print_answer(&brief, &caller.send(&brief).await?);
    is_correct &= print_stored(&report, &caller.send(&report).await?);
    is_correct &= print_answer(&report, &caller.wait(&report).await?);
    is_correct &= print_answer(&summary, &caller.send(&summary).await?);
    let first = caller.send(&deposit).await?;
    is_correct &= print_answer(&deposit, &first);
    let second = caller.send(&deposit).await?;
    is_correct &= print_answer(&deposit, &second) && first["output"] == second["output"];
    Ok(is_correct & print_runs(deployment, "commission-ledger", "release", &deposit).await?)
}

async fn run_compas(deployment: &Deployment, caller: &Caller) -> Result<bool, Box<dyn Error>> {
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
    let mut is_correct = print_answer(&registration, &caller.send(&registration).await?);
    is_correct &= print_runs(deployment, "entries-api", "register", &registration).await?;
    is_correct &= print_answer(&scoring, &caller.stream(&scoring).await?);
    is_correct &= print_answer(&status, &caller.send(&status).await?);
    Ok(is_correct)
}

/// Prints an answer and returns whether it is complete.
fn print_answer(message: &Message<'_>, answer: &Value) -> bool {
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
    answer["code"].as_u64() == Some(ANSWERED_CODE)
}

/// Prints that a request was stored, and returns whether it was.
fn print_stored(message: &Message<'_>, answer: &Value) -> bool {
    let (code, outcome) = (&answer["code"], text(&answer["outcome"]));
    println!("{}: {code} {outcome}, stored in the log", message.pipeline);
    answer["code"].as_u64() == Some(STORED_CODE)
}

/// Prints how often the backend servers ran a call, by their own count, and returns whether it
/// was once.
async fn print_runs(
    deployment: &Deployment,
    pool: &str,
    operation: &str,
    message: &Message<'_>,
) -> Result<bool, Box<dyn Error>> {
    let Some(key) = message.key else {
        return Ok(true);
    };
    let mut runs = 0;
    for url in deployment.server_urls(pool) {
        let request = awc::Client::default().get(format!("{url}/v1/runs/{key}"));
        let mut response = request.send().await?;
        let counts: Value = response.json().await?;
        for run in counts["runs"].as_array().into_iter().flatten() {
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
