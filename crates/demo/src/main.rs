//! The demo: two deployments on loopback in one process, with one scenario each.
//!
//! It starts stand-ins for the platform and the backend servers, two entry instances for each
//! deployment, rolls their bundles out, sends requests and prints the answers.

mod caller;
mod deployment;
mod scenario;

use std::{error::Error, process::ExitCode};

use argh::FromArgs;

use crate::{caller::Caller, deployment::Deployment};

/// The bundles, sorted by the name of their deployment.
const BUNDLES: [&str; 2] = [
    include_str!("../../../examples/adinkra.toml"),
    include_str!("../../../examples/compas.toml"),
];

/// Serves both users' pipelines on loopback, sends a few requests and prints the answers.
#[derive(FromArgs)]
struct Args {
    /// keep serving after the requests, and print the addresses
    #[argh(switch)]
    serve: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    entry::logs::start(entry::settings::Format::Text, log_level());
    match actix_web::rt::System::new().block_on(run(&args)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("an answer was not what it should be");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> Result<bool, Box<dyn Error>> {
    let mut deployments = Vec::new();
    let mut is_correct = true;
    for text in BUNDLES {
        let deployment = Deployment::start(text).await?;
        println!("\n== {} on {}", deployment.name(), deployment.address());
        let caller = Caller::new(deployment.address());
        is_correct &= scenario::run(&deployment, &caller).await?;
        deployments.push(deployment);
    }
    if args.serve {
        serve(&deployments).await?;
    }
    for deployment in deployments {
        deployment.stop().await;
    }
    Ok(is_correct)
}

async fn serve(deployments: &[Deployment]) -> Result<(), Box<dyn Error>> {
    println!();
    for deployment in deployments {
        for address in deployment.addresses() {
            println!("{} serves on http://{address}", deployment.name());
        }
    }
    println!("stop with Ctrl-C");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn log_level() -> entry::logs::LevelFilter {
    entry::logs::LevelFilter::Warn
}
