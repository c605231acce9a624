//! The limpetstep-entry program: one entry instance.

use std::process::ExitCode;

use entry::settings::{Flags, Settings};
use tokio::signal::unix::{SignalKind, signal};

/// The exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let settings = match Settings::from_process(&flags) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if flags.check {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    match entry::spawn(settings) {
        Ok(instance) => {
            // Programs that start this one read its ports and start time from these lines.
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
    let result = actix_web::rt::System::new().block_on(wait_for_stop_signal());
    if let Err(error) = result {
        eprintln!("cannot wait for signals: {error}");
    }
    instance.stop();
    instance.join();
    ExitCode::SUCCESS
}

/// Waits for the first stop signal. The handlers stay installed, so that a later signal does not kill
/// the process during the stop.
async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
