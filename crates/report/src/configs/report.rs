//! Settings of the report.

use core::{net::SocketAddr, str::FromStr, time::Duration};

use crate::{cli::Args, error::Error};

/// What the report is printed as.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// A page with plots.
    Html,
    /// JSON.
    Json,
    /// Lines of text.
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
    /// Whether each entry instance is asked for the sum of its failure domain, not for its own tracker.
    pub domains: bool,
    /// Where the entry instances take HTTP.
    pub entries: Vec<SocketAddr>,
    /// What the report is printed as.
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
    /// Reads settings from the flags and, where a flag is missing, from the environment.
    ///
    /// # Errors
    ///
    /// - No entry instance is given, or an address has the wrong form.
    /// - A variable has a value of the wrong form.
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
            None => parse("LIMPETSTEP_TIMEOUT_MS", variable)?,
        };
        let format = match args.format {
            Some(format) => Some(format),
            None => parse("LIMPETSTEP_FORMAT", variable)?,
        };
        let domains = parse("LIMPETSTEP_DOMAINS", variable)?;
        Ok(Self {
            domains: args.domains || domains.unwrap_or(default.domains),
            entries: entries.split(',').map(address).collect::<Result<_, _>>()?,
            format: format.unwrap_or(default.format),
            timeout: millis.map_or(default.timeout, Duration::from_millis),
        })
    }
}

fn address(text: &str) -> Result<SocketAddr, Error> {
    text.trim()
        .parse()
        .map_err(|_| Error::Usage(format!("`{text}` is not an IP number with a port")))
}

fn parse<T: FromStr>(
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
