//! Validation of a bundle, which reports all faults at once.

mod account;
mod limit;
mod name;
mod nearest;
mod pipeline;
mod pool;
mod priority;
mod signer;
mod viewer;

use core::fmt;

use crate::content::{Bundle, Error};

/// One fault of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The location: a path of section, name and field, or a file with line and column.
    pub path: String,
    /// The reason.
    pub reason: String,
    /// The valid name that is most similar to the given one.
    pub nearest: Option<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)?;
        match &self.nearest {
            Some(nearest) => write!(f, "; the nearest valid name is `{nearest}`"),
            None => Ok(()),
        }
    }
}

/// Returns all faults of a bundle, sorted by path; none if the bundle may be published.
///
/// # Examples
///
/// ```
/// let text = include_str!("../../../examples/compas.toml");
/// let bundle = bundle::Bundle::from_toml(text).unwrap();
/// assert!(bundle::check::faults(&bundle).is_empty());
/// ```
pub fn faults(bundle: &Bundle) -> Vec<Fault> {
    let mut found = Vec::new();
    account::check(bundle, &mut found);
    limit::check(bundle, &mut found);
    name::check(bundle, &mut found);
    pipeline::check(bundle, &mut found);
    pool::check(bundle, &mut found);
    priority::check(bundle, &mut found);
    signer::check(bundle, &mut found);
    viewer::check(bundle, &mut found);
    found.sort();
    found.dedup();
    found
}

/// Parses a bundle from the text of a file and checks it.
///
/// # Errors
///
/// - The text is not TOML of the expected shape: one fault with the file, line and column.
/// - The bundle has faults: all of them.
///
/// # Examples
///
/// ```
/// let found = bundle::check::parse("tiny.toml", "name = 1").unwrap_err();
/// assert!(found[0].path.starts_with("tiny.toml:1:"));
/// ```
pub fn parse(file: &str, text: &str) -> Result<Bundle, Vec<Fault>> {
    let bundle = Bundle::from_toml(text).map_err(|error| vec![syntax_fault(file, text, &error)])?;
    let found = faults(&bundle);
    if found.is_empty() {
        Ok(bundle)
    } else {
        Err(found)
    }
}

fn syntax_fault(file: &str, text: &str, error: &Error) -> Fault {
    let (path, reason) = match error {
        Error::Syntax(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            (location(file, text, offset), error.message().to_owned())
        }
        Error::Json(error) => (file.to_owned(), error.to_string()),
    };
    let nearest = nearest::from_message(&reason);
    Fault {
        path,
        reason,
        nearest,
    }
}

/// Formats a byte offset as file, line and column.
fn location(file: &str, text: &str, offset: usize) -> String {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before
        .chars()
        .rev()
        .take_while(|char| *char != '\n')
        .count()
        + 1;
    format!("{file}:{line}:{column}")
}

fn fault(path: String, reason: impl Into<String>) -> Fault {
    Fault {
        path,
        reason: reason.into(),
        nearest: None,
    }
}
