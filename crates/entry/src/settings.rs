//! Settings of an entry instance. Each is a flag and an environment variable; the flag takes
//! precedence.

use core::{fmt, net::SocketAddr, str::FromStr, time::Duration};
use std::env;

use argh::FromArgs;
use base::{Digest, Name};

/// Serves multi-stage model pipelines as one entry instance. Each flag is also an environment
/// variable: LIMPETSTEP_ and the flag's name in capitals, with underscores. Flags go first.
#[derive(Clone, Debug, Default, FromArgs)]
pub struct Flags {
    /// where callers connect: IP:PORT (default 127.0.0.1:8080; port 0 takes a free one)
    #[argh(option)]
    pub address: Option<String>,
    /// the age of the configuration's last record at which it is carried forward: milliseconds, 1000 to 2592000000 (default 28800000)
    #[argh(option)]
    pub carry_ms: Option<String>,
    /// check the settings, print them and exit
    #[argh(switch)]
    pub check: bool,
    /// the failure domain of this instance: a name (default local)
    #[argh(option)]
    pub domain: Option<String>,
    /// after a stop signal, how long to go on accepting while the balancer lags: milliseconds, 0 to 600000 (default 5000)
    #[argh(option)]
    pub drain_ms: Option<String>,
    /// how long the lease of a pool's placement lasts: milliseconds, 300 to 600000 (default 30000)
    #[argh(option)]
    pub lease_term_ms: Option<String>,
    /// the form of log lines: text or json (default text)
    #[argh(option)]
    pub log_format: Option<String>,
    /// the least severe log lines written: error, warn, info, debug or trace (default info)
    #[argh(option)]
    pub log_level: Option<String>,
    /// the name of this instance, unique in the deployment (default entry)
    #[argh(option)]
    pub name: Option<String>,
    /// the longest time until an order to an engine has its effect or never will: milliseconds, 10 to 60000 (default 5000)
    #[argh(option)]
    pub order_limit_ms: Option<String>,
    /// where peers connect: IP:PORT (default 127.0.0.1:0, which takes a free port)
    #[argh(option)]
    pub peer_address: Option<String>,
    /// peers to ask before the platform's list was read: IP:PORT each, comma-separated (default none)
    #[argh(option)]
    pub peers: Option<String>,
    /// the base URL of the platform's services: http://IP:PORT (required)
    #[argh(option)]
    pub platform: Option<String>,
    /// the time limit of one call of the platform: milliseconds, 10 to 60000 (default 1000)
    #[argh(option)]
    pub platform_limit_ms: Option<String>,
    /// how often to read configuration; the instance list is read at four times this: milliseconds, 10 to 15000 (default 500)
    #[argh(option)]
    pub poll_ms: Option<String>,
    /// the longest wait for a backend server's next sign of progress: milliseconds, 10 to 600000 (default 10000)
    #[argh(option)]
    pub progress_ms: Option<String>,
    /// public keys that the first bundle's signers must be among: 64 hexadecimal digits each, comma-separated (required)
    #[argh(option)]
    pub root_keys: Option<String>,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Plain text.
    #[default]
    Text,
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address to which callers connect.
    pub address: SocketAddr,
    /// The age of the configuration's last record at which it is carried forward.
    pub carry: Duration,
    /// The failure domain of this instance.
    pub domain: Name,
    /// How long connections are accepted after a stop signal.
    pub drain: Duration,
    /// The term of a pool's placement lease.
    pub lease_term: Duration,
    /// The format of log lines.
    pub log_format: Format,
    /// The least severe level of log lines that are written.
    pub log_level: log::LevelFilter,
    /// The name of this instance.
    pub name: Name,
    /// The time within which an order to an engine takes effect, if it ever does.
    pub order_limit: Duration,
    /// The address to which peers connect.
    pub peer_address: SocketAddr,
    /// Peers to contact before the platform's list has been read.
    pub peers: Vec<Name>,
    /// The base URL of the platform's services.
    pub platform: String,
    /// The timeout of one call to the platform.
    pub platform_limit: Duration,
    /// The interval between reads of the configuration; the instance list is read at four times this
    /// interval.
    pub poll: Duration,
    /// The maximum timeout on a backend server's next progress.
    pub progress: Duration,
    /// The public keys that may sign the first bundle.
    pub root_keys: Vec<Digest>,
}

/// A setting that is missing, malformed or out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The name of the flag.
    pub setting: &'static str,
    /// The given value; empty if there was none.
    pub value: String,
    /// The allowed values.
    pub allowed: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.value.is_empty() {
            return write!(
                f,
                "--{} is missing; allowed: {}",
                self.setting, self.allowed
            );
        }
        let (setting, value, allowed) = (self.setting, &self.value, self.allowed);
        write!(f, "--{setting} is '{value}'; allowed: {allowed}")
    }
}

impl Settings {
    /// Validates flags and environment variables, and reports every fault at once.
    ///
    /// # Errors
    ///
    /// One fault for each setting that is missing, malformed or out of range.
    ///
    /// # Examples
    ///
    /// ```
    /// use entry::settings::{Flags, Settings};
    /// let flags = Flags { poll_ms: Some("never".into()), ..Flags::default() };
    /// let faults = Settings::check(&flags, |_| None).unwrap_err();
    /// let names: Vec<_> = faults.iter().map(|fault| fault.setting).collect();
    /// assert_eq!(names, ["platform", "poll-ms", "root-keys"]);
    /// ```
    pub fn check(
        flags: &Flags,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Vec<Fault>> {
        let mut reader = Reader {
            variable: &variable,
            faults: Vec::new(),
        };
        let settings = Self {
            address: reader.parse("address", &flags.address, "127.0.0.1:8080", ALLOWED_ADDRESS),
            carry: reader.millis(
                "carry-ms",
                &flags.carry_ms,
                "28800000",
                1_000,
                2_592_000_000,
            ),
            domain: Name::from(reader.text("domain", &flags.domain, "local")),
            drain: reader.millis("drain-ms", &flags.drain_ms, "5000", 0, 600_000),
            lease_term: reader.millis("lease-term-ms", &flags.lease_term_ms, "30000", 300, 600_000),
            log_format: reader.format(&flags.log_format),
            log_level: reader.parse("log-level", &flags.log_level, "info", ALLOWED_LEVELS),
            name: Name::from(reader.text("name", &flags.name, "entry")),
            order_limit: reader.millis("order-limit-ms", &flags.order_limit_ms, "5000", 10, 60_000),
            peer_address: reader.parse(
                "peer-address",
                &flags.peer_address,
                "127.0.0.1:0",
                ALLOWED_ADDRESS,
            ),
            peers: reader.peers(&flags.peers),
            platform: reader.platform(&flags.platform),
            platform_limit: reader.millis(
                "platform-limit-ms",
                &flags.platform_limit_ms,
                "1000",
                10,
                60_000,
            ),
            poll: reader.millis("poll-ms", &flags.poll_ms, "500", 10, 15_000),
            progress: reader.millis("progress-ms", &flags.progress_ms, "10000", 10, 600_000),
            root_keys: reader.keys(&flags.root_keys),
        };
        if reader.faults.is_empty() {
            return Ok(settings);
        }
        Err(reader.faults)
    }

    /// Validates flags and the environment variables of the process.
    ///
    /// # Errors
    ///
    /// As for [`Settings::check`].
    pub fn from_process(flags: &Flags) -> Result<Self, Vec<Fault>> {
        Self::check(flags, |name| env::var(name).ok())
    }
}

const ALLOWED_ADDRESS: &str = "IP:PORT, such as 127.0.0.1:8080";
const ALLOWED_LEVELS: &str = "error, warn, info, debug or trace";
const ALLOWED_MILLIS: &str = "a whole number of milliseconds within the range that --help states";

struct Reader<'a> {
    variable: &'a dyn Fn(&str) -> Option<String>,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn text(&self, setting: &str, flag: &Option<String>, default: &str) -> String {
        let variable = format!("LIMPETSTEP_{}", setting.to_uppercase().replace('-', "_"));
        flag.clone()
            .or_else(|| (self.variable)(&variable))
            .unwrap_or_else(|| default.to_owned())
    }

    fn fault(&mut self, setting: &'static str, value: String, allowed: &'static str) {
        self.faults.push(Fault {
            setting,
            value,
            allowed,
        });
    }

    fn parse<T: FromStr>(
        &mut self,
        setting: &'static str,
        flag: &Option<String>,
        default: &str,
        allowed: &'static str,
    ) -> T {
        let text = self.text(setting, flag, default);
        if let Ok(value) = text.parse() {
            return value;
        }
        self.fault(setting, text, allowed);
        let Ok(value) = default.parse() else {
            unreachable!("the default of --{setting} is valid")
        };
        value
    }

    fn millis(
        &mut self,
        setting: &'static str,
        flag: &Option<String>,
        default: &str,
        min: u64,
        max: u64,
    ) -> Duration {
        let millis: u64 = self.parse(setting, flag, default, ALLOWED_MILLIS);
        if !(min..=max).contains(&millis) {
            self.fault(setting, millis.to_string(), ALLOWED_MILLIS);
        }
        Duration::from_millis(millis)
    }

    fn format(&mut self, flag: &Option<String>) -> Format {
        let text = self.text("log-format", flag, "text");
        match text.as_str() {
            "json" => Format::Json,
            "text" => Format::Text,
            _ => {
                self.fault("log-format", text, "text or json");
                Format::Text
            }
        }
    }

    fn platform(&mut self, flag: &Option<String>) -> String {
        let text = self.text("platform", flag, "");
        let is_valid = text
            .strip_prefix("http://")
            .is_some_and(|rest| rest.trim_end_matches('/').parse::<SocketAddr>().is_ok());
        if !is_valid {
            self.fault("platform", text.clone(), "http://IP:PORT");
        }
        text
    }

    fn peers(&mut self, flag: &Option<String>) -> Vec<Name> {
        let text = self.text("peers", flag, "");
        let peers: Vec<_> = text
            .split(',')
            .map(str::trim)
            .filter(|peer| !peer.is_empty())
            .collect();
        if peers.iter().any(|peer| peer.parse::<SocketAddr>().is_err()) {
            self.fault(
                "peers",
                text.clone(),
                "IP:PORT for each peer, comma-separated",
            );
        }
        peers.into_iter().map(Name::from).collect()
    }

    fn keys(&mut self, flag: &Option<String>) -> Vec<Digest> {
        let text = self.text("root-keys", flag, "");
        let keys: Option<Vec<_>> = text
            .split(',')
            .map(|key| Digest::parse(key.trim()))
            .collect();
        if let Some(mut keys) = keys {
            keys.sort_unstable();
            return keys;
        }
        let allowed = "64 hexadecimal digits for each key, comma-separated";
        self.fault("root-keys", text, allowed);
        Vec::new()
    }
}
