//! Settings of the report.

use core::{net::SocketAddr, str::FromStr, time::Duration};

use crate::{cli::Args, error::Error};

/// The output format of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// An HTML page with plots.
    Html,
    /// JSON.
    Json,
    /// Plain text.
    #[default]
    Text,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "html" => Ok(Self::Html),
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err(format!("`{text}` is none of html, json and text")),
        }
    }
}

/// Settings from flags and environment variables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Whether to fetch the summary of a failure domain from each entry instance instead of its own tracker.
    pub domains: bool,
    /// The HTTP addresses of the entry instances.
    pub entries: Vec<SocketAddr>,
    /// The output format.
    pub format: Format,
    /// The time limit for one instance.
    pub timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            domains: false,
            entries: Vec::new(),
            format: Format::Text,
            timeout: Duration::from_secs(3),
        }
    }
}

impl Config {
    /// Reads settings from the flags, or from the environment if a flag is missing.
    ///
    /// # Errors
    ///
    /// - No entry instance is given, or an address is invalid.
    /// - The value of a variable is invalid.
    ///
    /// # Examples
    ///
    /// ```
    /// use argh::FromArgs;
    /// use report::{Config, cli::Args};
    /// let args = Args::from_args(&["report"], &["--entries", "127.0.0.1:1,127.0.0.1:2"]).unwrap();
    /// let config = Config::read(&args, &|_| None).unwrap();
    /// assert_eq!(config.entries.len(), 2);
    /// ```
    pub fn read(args: &Args, variable: &dyn Fn(&str) -> Option<String>) -> Result<Self, Error> {
        let default = Self::default();
        let entries = args.entries.clone();
        let entries = entries.or_else(|| variable("LIMPETSTEP_ENTRIES"));
        let entries = entries.ok_or_else(|| Error::Usage("--entries is needed".to_owned()))?;
        let millis: Option<u64> = match args.timeout_ms {
            Some(millis) => Some(millis),
            None => parse_variable("LIMPETSTEP_TIMEOUT_MS", variable)?,
        };
        let format = match args.format {
            Some(format) => Some(format),
            None => parse_variable("LIMPETSTEP_FORMAT", variable)?,
        };
        let domains = parse_variable("LIMPETSTEP_DOMAINS", variable)?;
        Ok(Self {
            domains: args.domains || domains.unwrap_or(default.domains),
            entries: entries
                .split(',')
                .map(parse_address)
                .collect::<Result<_, _>>()?,
            format: format.unwrap_or(default.format),
            timeout: millis.map_or(default.timeout, Duration::from_millis),
        })
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, Error> {
    text.trim()
        .parse()
        .map_err(|_| Error::Usage(format!("`{text}` is not an IP number with a port")))
}

fn parse_variable<T: FromStr>(
    name: &str,
    variable: &dyn Fn(&str) -> Option<String>,
) -> Result<Option<T>, Error> {
    variable(name)
        .map(|text| {
            text.parse()
                .map_err(|_| Error::Usage(format!("{name} has a value of the wrong form")))
        })
        .transpose()
}
