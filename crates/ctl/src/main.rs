//! The limpetstep-ctl program.

use std::process::ExitCode;

use argh::FromArgs as _;
use ctl::{
    Error,
    cli::{Args, Settings, run},
};

#[actix_web::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["limpetstep-ctl"], &args) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => return fail(&Error::Usage(exit.output)),
    };
    let variable = |name: &str| std::env::var(name).ok();
    let settings = match Settings::read(&args, &variable) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    match run(&args, &settings).await {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

fn fail(error: &Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(error.exit_code())
}
