//! The limpetstep-report program.

use std::{
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

use argh::FromArgs as _;
use base::Stamp;
use report::{Config, Error, cli::Args, fetch, show};

/// The exit code when an alarm is raised.
const ALARM_EXIT_CODE: u8 = 1;

#[actix_web::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["limpetstep-report"], &args) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => return fail(&Error::Usage(exit.output)),
    };
    let config = match Config::read(&args, &|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(error) => return fail(&error),
    };
    match fetch::read(&config, now()).await {
        Ok(reading) => {
            println!("{}", show::print(&reading, config.format));
            let raised = reading.report.is_alarm_raised();
            ExitCode::from(if raised { ALARM_EXIT_CODE } else { 0 })
        }
        Err(error) => fail(&error),
    }
}

fn now() -> Stamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |span| span.as_millis());
    Stamp::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}

fn fail(error: &Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(error.exit_code())
}
