//! Views: what this instance knows, and what the log tells.

use std::sync::Arc;

use base::Code;
use bundle::{Bundle, Document, check, diff};
use ctl::{Error, View, audit, status::State};
use flow::Answer;
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    Service,
    configs::admin::Admin,
    problem,
    view::{Accounts, Bounds, Members, Pipelines, Pools, Rate, Snapshot, Suspects},
};

/// Shows the client accounts of the bundle in force.
pub(crate) fn accounts<S: Service>(service: &S) -> Value {
    let bundle = service.bundle();
    let accounts = listed(&bundle, |bundle| &bundle.accounts);
    let accounts = accounts.iter().map(Rate::from_account).collect();
    seen(service, Accounts { accounts })
}

/// Shows what is in flight.
pub(crate) fn in_flight<S: Service>(service: &S) -> Value {
    seen(service, service.in_flight())
}

/// Shows the limits of the bundle in force.
pub(crate) fn limits<S: Service>(service: &S) -> Value {
    let limits = service.bundle().map(|bundle| bundle.limits.clone());
    let others = service.demands();
    seen(service, Bounds { limits, others })
}

/// Shows the pipelines of the bundle in force.
pub(crate) fn pipelines<S: Service>(service: &S) -> Value {
    let bundle = service.bundle();
    let pipelines = listed(&bundle, |bundle| &bundle.pipelines).to_vec();
    seen(service, Pipelines { pipelines })
}

/// Shows the pools of the bundle in force, with the backend servers known.
pub(crate) fn pools<S: Service>(service: &S) -> Value {
    let (bundle, servers) = (service.bundle(), service.servers());
    let pools = listed(&bundle, |bundle| &bundle.pools);
    let pools = pools.iter().map(|pool| Members::from_pool(pool, &servers));
    let pools = pools.collect();
    seen(service, Pools { pools })
}

/// Shows the contents that are suspected of crashing backend servers.
pub(crate) fn suspects<S: Service>(service: &S) -> Value {
    let suspects = service.suspects();
    seen(service, Suspects { suspects })
}

/// Reads a page of the audit trail.
pub(crate) async fn audit<S: Service>(
    service: &S,
    config: &Admin,
    query: &str,
) -> Result<Value, Answer> {
    let (from, limit) = page(config, query)?;
    let page = audit::read(service.log(), &service.root_keys(), from, limit).await;
    let page = page.map_err(|error| problem::of(&error, config))?;
    Ok(seen(service, page))
}

/// Checks a bundle.
pub(crate) fn check(body: &[u8]) -> Value {
    let (digest, faults) = match document(body) {
        Ok(document) => (Some(document.digest()), Vec::new()),
        Err(Error::Faults(faults)) => (None, faults),
        Err(error) => (None, vec![fault(&error)]),
    };
    let faults: Vec<Value> = faults
        .iter()
        .map(
            |fault| json!({ "path": fault.path, "reason": fault.reason, "nearest": fault.nearest }),
        )
        .collect();
    json!({ "digest": digest, "faults": faults })
}

/// Compares a bundle with the one in force by the log.
pub(crate) async fn diff<S: Service>(
    service: &S,
    config: &Admin,
    body: &[u8],
) -> Result<Value, Answer> {
    let faulty = |error: Error| Answer::refusal(Code::BundleFaulty, error.to_string());
    let document = document(body).map_err(faulty)?;
    let view = read(service, config).await?;
    let changes = diff::between(view.projection.document().map(AsRef::as_ref), &document);
    Ok(json!({ "in_force": view.projection.position(), "changes": changes }))
}

/// Tells what each record that the log keeps did.
pub(crate) async fn history<S: Service>(service: &S, config: &Admin) -> Result<Value, Answer> {
    let view = read(service, config).await?;
    let lines: Vec<String> = view.events.iter().map(ToString::to_string).collect();
    Ok(json!({ "lines": lines }))
}

/// Tells what is in force by the log, and what is proposed.
pub(crate) async fn status<S: Service>(service: &S, config: &Admin) -> Result<Value, Answer> {
    let view = read(service, config).await?;
    Ok(seen(service, State::from_view(&view)))
}

async fn read<S: Service>(service: &S, config: &Admin) -> Result<View, Answer> {
    let view = View::read(service.log(), &service.root_keys()).await;
    view.map_err(|error| problem::of(&error, config))
}

/// Says which instance shows a content, and how far it has read.
fn seen<S: Service, T: Serialize>(service: &S, content: T) -> Value {
    json!(Snapshot {
        instance: service.instance(),
        domain: service.domain(),
        at_ms: service.now(),
        bundle: service.position(),
        bundle_age_ms: service.bundle_age_ms(),
        content,
    })
}

fn listed<T>(bundle: &Option<Arc<Bundle>>, list: impl Fn(&Bundle) -> &Vec<T>) -> &[T] {
    bundle.as_deref().map_or(&[], |bundle| list(bundle))
}

/// Reads the page that a query asks for: `from` an offset, `limit` acts.
fn page(config: &Admin, query: &str) -> Result<(u64, usize), Answer> {
    let refuse = |detail: String| Answer::refusal(Code::QueryInvalid, detail);
    let (mut from, mut limit) = (0, config.default_page_len);
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let wrong = || refuse(format!("`{pair}` is not from=OFFSET or limit=NUMBER"));
        let (name, value) = pair.split_once('=').ok_or_else(wrong)?;
        match name {
            "from" => from = value.parse().map_err(|_| wrong())?,
            "limit" => limit = value.parse().map_err(|_| wrong())?,
            _ => return Err(wrong()),
        }
    }
    if limit == 0 || limit > config.max_page_len {
        let most = config.max_page_len;
        return Err(refuse(format!("limit is from 1 to {most}")));
    }
    Ok((from, limit))
}

/// Reads a bundle in TOML without faults.
fn document(body: &[u8]) -> Result<Document, Error> {
    let text = core::str::from_utf8(body).map_err(|error| Error::Usage(error.to_string()))?;
    check::parse("body", text).map_err(Error::Faults)?;
    Document::from_toml(text).map_err(|error| Error::Usage(error.to_string()))
}

fn fault(error: &Error) -> check::Fault {
    check::Fault {
        path: "body".to_owned(),
        reason: error.to_string(),
        nearest: None,
    }
}
