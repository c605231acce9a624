//! The command line.

mod run;
mod settings;

pub use self::{run::run, settings::Settings};

use argh::FromArgs;

/// Checks, signs, publishes and rolls out bundles. Every flag is also a variable
/// `LIMPETSTEP_FLAG`; a flag goes first.
#[derive(Clone, Debug, FromArgs)]
pub struct Args {
    /// base URL of the platform's log service
    #[argh(option)]
    pub platform: Option<String>,

    /// public keys of the root set, separated by commas
    #[argh(option)]
    pub roots: Option<String>,

    /// addresses of entry instances that `status` asks, separated by commas
    #[argh(option)]
    pub entries: Option<String>,

    /// file that holds the private key
    #[argh(option)]
    pub key: Option<String>,

    /// time limit for one call to the platform, in milliseconds
    #[argh(option)]
    pub timeout_ms: Option<u64>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,

    /// stop before anything is appended
    #[argh(switch)]
    pub dry_run: bool,

    /// print the signed record in place of appending it, for the administration interface
    #[argh(switch)]
    pub record: bool,

    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a bundle.
    Check(Check),
    /// Compares a bundle with the one in force.
    Diff(Diff),
    /// Tells what each record of the log did.
    History(History),
    /// Makes a key.
    Keygen(Keygen),
    /// Proposes a bundle.
    Publish(Publish),
    /// Signs a request to the administration interface.
    Request(Request),
    /// Puts a bundle in force.
    RollOut(RollOut),
    /// Signs a proposed bundle off.
    SignOff(SignOff),
    /// Tells what is in force and what is proposed.
    Status(Status),
}

/// check a bundle
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file of the bundle
    #[argh(positional)]
    pub file: String,
}

/// compare a bundle with the one in force
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// file of the bundle
    #[argh(positional)]
    pub file: String,
}

/// tell what each record of the log did
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {}

/// make a key
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "keygen")]
pub struct Keygen {
    /// file to write the private key to; it must not exist
    #[argh(positional)]
    pub file: String,
}

/// propose a bundle
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// file of the bundle
    #[argh(positional)]
    pub file: String,
}

/// sign a request to the administration interface and print its header
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "request")]
pub struct Request {
    /// method, such as GET
    #[argh(positional)]
    pub method: String,

    /// path with its query, such as /admin/v1/pools
    #[argh(positional)]
    pub target: String,

    /// file of the body; none for an empty one
    #[argh(option)]
    pub body: Option<String>,
}

/// put a bundle in force
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "roll-out")]
pub struct RollOut {
    /// digest of the bundle
    #[argh(positional)]
    pub digest: String,

    /// digest of the bundle that it replaces, or `none`
    #[argh(option)]
    pub base: Option<String>,
}

/// sign a proposed bundle off
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "sign-off")]
pub struct SignOff {
    /// digest of the bundle
    #[argh(positional)]
    pub digest: String,
}

/// tell what is in force and what is proposed
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}
