//! Executes the commands of the command line.

use std::{fs, io::Write as _};

use bundle::{Document, check, diff, sign::Key};
use platform::Http;
use serde_json::{Value, json};

use super::{Args, Command, Settings, settings::digest};
use crate::{
    Error, Receipt, Session, View, append::now, publish, request, roll_out, sign_off,
    spread::Spread, status::Status,
};

/// Executes the command and returns the text to print.
///
/// # Errors
///
/// As for the action; [`Error::exit_code`] gives the exit code of the process.
///
/// # Examples
///
/// ```
/// # #[actix_web::main]
/// # async fn main() {
/// use argh::FromArgs;
/// use ctl::cli::{Args, Settings, run};
/// let args = Args::from_args(&["ctl"], &["check", "/no/such/file"]).unwrap();
/// let error = run(&args, &Settings::default()).await.unwrap_err();
/// assert_eq!(error.exit_code(), 2);
/// # }
/// ```
pub async fn run(args: &Args, settings: &Settings) -> Result<String, Error> {
    match &args.command {
        Command::Check(args) => run_check(settings, &args.file),
        Command::Keygen(args) => run_keygen(settings, &args.file),
        Command::Diff(args) => {
            let document = read_document(&args.file)?;
            let view = view(settings).await?;
            Ok(show_diff(settings, &view, &document))
        }
        Command::History(_) => Ok(show_history(settings, &view(settings).await?)),
        Command::Status(_) => {
            let view = view(settings).await?;
            let spread = Spread::read(&settings.entries()?, &view, settings.timeout).await;
            let status = Status::from_view(&view, spread);
            Ok(render(settings, json!(status), status.to_string()))
        }
        Command::Publish(args) => {
            let text = read_file(&args.file)?;
            let (log, key) = (open(settings)?, settings.key()?);
            let receipt = publish(&session(settings, &log)?, &args.file, &text, &key).await?;
            Ok(show_receipt(settings, "published", &receipt))
        }
        Command::SignOff(args) => {
            let (log, key) = (open(settings)?, settings.key()?);
            let digest = digest(&args.digest)?;
            let receipt = sign_off(&session(settings, &log)?, digest, &key).await?;
            Ok(show_receipt(settings, "signed off", &receipt))
        }
        Command::Request(args) => {
            let body = args.body.as_ref().map(|file| read_file(file)).transpose()?;
            let body = body.unwrap_or_default();
            let header = request::sign(&settings.key()?, &args.method, &args.target, &body, now());
            Ok(format!("Authorization: {header}"))
        }
        Command::RollOut(args) => {
            let (log, key) = (open(settings)?, settings.key()?);
            let digest = digest(&args.digest)?;
            let base = base(args.base.as_ref().or(settings.base.as_ref()))?;
            let nonce = rand::random();
            let receipt = roll_out(&session(settings, &log)?, digest, base, &key, nonce).await?;
            Ok(show_receipt(settings, "rolled out", &receipt))
        }
    }
}

/// Reads a file as text.
pub(super) fn read_file(file: &str) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|error| Error::Usage(format!("{file}: {error}")))
}

fn read_document(file: &str) -> Result<Document, Error> {
    let text = read_file(file)?;
    check::parse(file, &text).map_err(Error::Faults)?;
    Document::from_toml(&text).map_err(|error| Error::Usage(error.to_string()))
}

fn base(text: Option<&String>) -> Result<Option<base::Digest>, Error> {
    match text.map(String::as_str) {
        Some("none") => Ok(None),
        Some(text) => digest(text).map(Some),
        None => Err(Error::Usage("--base is needed".to_owned())),
    }
}

fn open(settings: &Settings) -> Result<Http, Error> {
    Ok(Http::open(settings.platform()?, settings.timeout))
}

fn session<'a>(settings: &Settings, log: &'a Http) -> Result<Session<'a, Http>, Error> {
    Ok(Session {
        appender: "limpetstep-ctl".into(),
        log,
        roots: settings.roots()?,
        dry_run: settings.dry_run || settings.record,
    })
}

async fn view(settings: &Settings) -> Result<View, Error> {
    View::read(&open(settings)?, &settings.roots()?).await
}

fn run_check(settings: &Settings, file: &str) -> Result<String, Error> {
    let document = read_document(file)?;
    let digest = document.digest();
    Ok(render(
        settings,
        json!({ "digest": digest }),
        format!("{file} has no faults; its digest is {digest}"),
    ))
}

/// Writes a new key to a file that only its owner may read.
fn run_keygen(settings: &Settings, file: &str) -> Result<String, Error> {
    use std::os::unix::fs::OpenOptionsExt as _;
    let key = Key::from_seed(rand::random());
    let file_error = |error| Error::Usage(format!("{file}: {error}"));
    let mut opened = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(file)
        .map_err(file_error)?;
    writeln!(opened, "{}", key.secret()).map_err(file_error)?;
    let public = key.public();
    Ok(render(
        settings,
        json!({ "public_key": public }),
        format!("public_key = \"{public}\""),
    ))
}

fn show_receipt(settings: &Settings, what: &str, receipt: &Receipt) -> String {
    if settings.record {
        return receipt.record.to_json();
    }
    let bundle = format!("version {} {}", receipt.version, receipt.digest);
    let text = match (receipt.offset, receipt.repeated) {
        (None, _) => format!("dry run: {bundle} would be {what}; nothing was appended"),
        (Some(offset), false) => format!("{what} {bundle} at offset {offset}"),
        (Some(offset), true) => format!("{what} {bundle} before the record at offset {offset}"),
    };
    render(settings, json!(receipt), text)
}

fn show_diff(settings: &Settings, view: &View, document: &Document) -> String {
    let changes = diff::between(view.projection.document().map(AsRef::as_ref), document);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    render(settings, json!(changes), lines.join("\n"))
}

fn show_history(settings: &Settings, view: &View) -> String {
    let lines: Vec<String> = view.events.iter().map(ToString::to_string).collect();
    render(settings, json!(lines), lines.join("\n"))
}

fn render(settings: &Settings, value: Value, text: String) -> String {
    if settings.json {
        value.to_string()
    } else {
        text
    }
}
