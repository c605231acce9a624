//! The `limpetstep-fake` program: one stand-in in a process of its own.

use core::net::SocketAddr;
use std::io::{self, Write as _};

use argh::FromArgs;
use base::Name;
use fake::{configs, platform, server};

/// Stand-ins for the platform and for backend servers.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(Platform),
    Server(Box<Server>),
}

/// Log service, instance list and weight store.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// where to listen; port 0 takes a free one
    #[argh(option, default = "configs::platform::Config::default().address")]
    address: SocketAddr,
    /// appends taken per second, over all streams
    #[argh(
        option,
        default = "configs::platform::Config::default().appends_per_second"
    )]
    appends_per_second: f64,
    /// faults from the start, as JSON
    #[argh(option, default = "Default::default()", from_str_fn(parse_json))]
    faults: platform::Faults,
}

/// One backend server.
#[derive(FromArgs)]
#[argh(subcommand, name = "server")]
struct Server {
    /// where to listen; port 0 takes a free one
    #[argh(option, default = "configs::server::Config::default().address")]
    address: SocketAddr,
    /// the name of the server
    #[argh(option)]
    name: String,
    /// the pool to register in
    #[argh(option)]
    pool: String,
    /// the failure domain
    #[argh(option)]
    domain: String,
    /// the base URL of the platform
    #[argh(option)]
    platform: Option<String>,
    /// encode, generate, rerank, retrieve or service
    #[argh(option)]
    kind: server::Kind,
    /// calls or streams worked on at once
    #[argh(option, default = "configs::server::Config::default().batch")]
    batch: usize,
    /// calls or streams that may wait
    #[argh(option, default = "configs::server::Config::default().queue")]
    queue: usize,
    /// the time that one call takes, in milliseconds
    #[argh(option, default = "configs::server::Config::default().work_ms")]
    work_ms: f64,
    /// tokens per second, shared by the running streams
    #[argh(
        option,
        default = "configs::server::Config::default().tokens_per_second"
    )]
    tokens_per_second: f64,
    /// tokens in an answer
    #[argh(option, default = "configs::server::Config::default().tokens")]
    tokens: u64,
    /// refuse orders with an old fencing number
    #[argh(switch)]
    checks_fencing: bool,
    /// a model loaded at the start; may be repeated
    #[argh(option)]
    model: Vec<String>,
    /// the least time between the start of leaving and the exit, in milliseconds
    #[argh(option, default = "configs::server::Config::default().leave_ms")]
    leave_ms: u64,
    /// faults from the start, as JSON
    #[argh(option, default = "Default::default()", from_str_fn(parse_json))]
    faults: server::Faults,
}

#[actix_web::main]
async fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    let handle = match args.command {
        Command::Platform(args) => platform::bind(args.config())?,
        Command::Server(args) => server::bind(args.config())?,
    };
    let mut output = io::stdout();
    writeln!(output, "listening {}", handle.address())?;
    output.flush()?;
    handle.wait().await
}

impl Platform {
    fn config(self) -> configs::platform::Config {
        configs::platform::Config {
            address: self.address,
            appends_per_second: self.appends_per_second,
            faults: self.faults,
            ..Default::default()
        }
    }
}

impl Server {
    fn config(self) -> configs::server::Config {
        configs::server::Config {
            address: self.address,
            name: Name::from(self.name),
            pool: Name::from(self.pool),
            domain: Name::from(self.domain),
            platform: self.platform,
            kind: self.kind,
            batch: self.batch,
            queue: self.queue,
            work_ms: self.work_ms,
            tokens_per_second: self.tokens_per_second,
            tokens: self.tokens,
            checks_fencing: self.checks_fencing,
            models: self.model.into_iter().map(Name::from).collect(),
            leave_ms: self.leave_ms,
            own_process: true,
            faults: self.faults,
            ..Default::default()
        }
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
}
