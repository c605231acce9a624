//! Settings from flags and environment variables.

use core::{net::SocketAddr, time::Duration};

use base::Digest;
use bundle::sign::Key;

use super::Args;
use crate::Error;

/// Settings from flags and environment variables.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Base URL of the platform.
    pub platform: Option<String>,
    /// Public keys of the root set.
    pub roots: Option<String>,
    /// File that holds the private key.
    pub key: Option<String>,
    /// Entry instances whose position is queried.
    pub entries: Option<String>,
    /// The bundle that a roll-out replaces.
    pub base: Option<String>,
    /// Time limit for one call to the platform.
    pub timeout: Duration,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether to stop before anything is appended.
    pub dry_run: bool,
    /// Whether to print the signed record instead of appending it.
    pub record: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            platform: None,
            roots: None,
            key: None,
            entries: None,
            base: None,
            timeout: Duration::from_secs(5),
            json: false,
            dry_run: false,
            record: false,
        }
    }
}

impl Settings {
    /// Reads settings from the flags, or from the environment if a flag is missing.
    ///
    /// # Errors
    ///
    /// The value of a variable is invalid.
    ///
    /// # Examples
    ///
    /// ```
    /// use argh::FromArgs;
    /// use ctl::cli::{Args, Settings};
    /// let args = Args::from_args(&["ctl"], &["--json", "status"]).unwrap();
    /// let variable = |name: &str| (name == "LIMPETSTEP_TIMEOUT_MS").then(|| "20".to_owned());
    /// let settings = Settings::read(&args, &variable).unwrap();
    /// assert!(settings.json && settings.timeout.as_millis() == 20);
    /// ```
    pub fn read(args: &Args, variable: &dyn Fn(&str) -> Option<String>) -> Result<Self, Error> {
        let default = Self::default();
        let text = |flag: &Option<String>, name: &str| flag.clone().or_else(|| variable(name));
        let switch = |flag: bool, name: &str| -> Result<bool, Error> {
            Ok(flag || parse(variable(name), name)?.unwrap_or(false))
        };
        let timeout = match args.timeout_ms {
            Some(millis) => Some(millis),
            None => parse(variable("LIMPETSTEP_TIMEOUT_MS"), "LIMPETSTEP_TIMEOUT_MS")?,
        };
        Ok(Self {
            platform: text(&args.platform, "LIMPETSTEP_PLATFORM"),
            roots: text(&args.roots, "LIMPETSTEP_ROOTS"),
            key: text(&args.key, "LIMPETSTEP_KEY"),
            entries: text(&args.entries, "LIMPETSTEP_ENTRIES"),
            base: variable("LIMPETSTEP_BASE"),
            timeout: timeout.map_or(default.timeout, Duration::from_millis),
            json: switch(args.json, "LIMPETSTEP_JSON")?,
            dry_run: switch(args.dry_run, "LIMPETSTEP_DRY_RUN")?,
            record: switch(args.record, "LIMPETSTEP_RECORD")?,
        })
    }

    /// Returns the platform's base URL.
    ///
    /// # Errors
    ///
    /// It is not set.
    pub fn platform(&self) -> Result<&str, Error> {
        required(&self.platform, "--platform")
    }

    /// Returns the root keys.
    ///
    /// # Errors
    ///
    /// They are not set, or one is not 64 hexadecimal digits.
    pub fn roots(&self) -> Result<Vec<Digest>, Error> {
        required(&self.roots, "--roots")?
            .split(',')
            .map(|text| digest(text.trim()))
            .collect()
    }

    /// Returns the entry instances to query; none unless they are set.
    ///
    /// # Errors
    ///
    /// An address is not an IP number with a port.
    pub fn entries(&self) -> Result<Vec<SocketAddr>, Error> {
        let Some(text) = &self.entries else {
            return Ok(Vec::new());
        };
        let parse_address = |text: &str| {
            let invalid = |_| Error::Usage(format!("`{text}` is not an IP number with a port"));
            text.trim().parse().map_err(invalid)
        };
        text.split(',').map(parse_address).collect()
    }

    /// Reads the private key from its file.
    ///
    /// # Errors
    ///
    /// It is not set, the file cannot be read, or it contains no key.
    pub fn key(&self) -> Result<Key, Error> {
        let file = required(&self.key, "--key")?;
        let text = super::run::read_file(file)?;
        Key::parse(&text).ok_or_else(|| Error::Usage(format!("{file} holds no private key")))
    }
}

/// Parses a digest.
pub(super) fn digest(text: &str) -> Result<Digest, Error> {
    Digest::parse(text)
        .ok_or_else(|| Error::Usage(format!("`{text}` is not 64 hexadecimal digits")))
}

fn required<'a>(value: &'a Option<String>, flag: &str) -> Result<&'a str, Error> {
    value
        .as_deref()
        .ok_or_else(|| Error::Usage(format!("{flag} is needed")))
}

fn parse<T: core::str::FromStr>(text: Option<String>, name: &str) -> Result<Option<T>, Error> {
    text.map(|text| {
        text.parse()
            .map_err(|_| Error::Usage(format!("{name} has a value of the wrong form")))
    })
    .transpose()
}
