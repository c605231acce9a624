//! The limpetstep-entry program: one entry instance.

use std::process::ExitCode;

use entry::settings::{Flags, Settings};
use tokio::signal::unix::{SignalKind, signal};

/// The exit code for faulty settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let settings = match Settings::from_process(&flags) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if flags.check {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    match entry::spawn(settings) {
        Ok(instance) => {
            // Programs that start this one read ports and start from here.
            println!("listening {}", instance.address());
            println!("peers {}", instance.peer_address());
            println!("incarnation {}", instance.incarnation());
            serve(instance)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(instance: entry::Handle) -> ExitCode {
    let waiting = actix_web::rt::System::new().block_on(wait());
    if let Err(error) = waiting {
        eprintln!("cannot wait for signals: {error}");
    }
    instance.stop();
    instance.join();
    ExitCode::SUCCESS
}

/// Waits for the first stop signal; the handlers stay, so a later one does not cut anything.
async fn wait() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
