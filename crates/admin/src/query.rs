//! Read views: the state of this instance and of the log.

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
    let accounts = list_of(&bundle, |bundle| &bundle.accounts);
    let accounts = accounts.iter().map(Rate::from_account).collect();
    snapshot(service, Accounts { accounts })
}

/// Shows the work in flight.
pub(crate) fn in_flight<S: Service>(service: &S) -> Value {
    snapshot(service, service.in_flight())
}

/// Shows the limits of the bundle in force.
pub(crate) fn limits<S: Service>(service: &S) -> Value {
    let limits = service.bundle().map(|bundle| bundle.limits.clone());
    let others = service.demands();
    snapshot(service, Bounds { limits, others })
}

/// Shows the pipelines of the bundle in force.
pub(crate) fn pipelines<S: Service>(service: &S) -> Value {
    let bundle = service.bundle();
    let pipelines = list_of(&bundle, |bundle| &bundle.pipelines).to_vec();
    snapshot(service, Pipelines { pipelines })
}

/// Shows the pools of the bundle in force with the known backend servers.
pub(crate) fn pools<S: Service>(service: &S) -> Value {
    let (bundle, servers) = (service.bundle(), service.servers());
    let pools = list_of(&bundle, |bundle| &bundle.pools);
    let pools = pools.iter().map(|pool| Members::from_pool(pool, &servers));
    let pools = pools.collect();
    snapshot(service, Pools { pools })
}

/// Shows the request contents suspected of crashing backend servers.
pub(crate) fn suspects<S: Service>(service: &S) -> Value {
    let suspects = service.suspects();
    snapshot(service, Suspects { suspects })
}

/// Reads a page of the audit trail.
pub(crate) async fn audit<S: Service>(
    service: &S,
    config: &Admin,
    query: &str,
) -> Result<Value, Answer> {
    let (from, limit) = parse_page(config, query)?;
    let page = audit::read(service.log(), &service.root_keys(), from, limit).await;
    let page = page.map_err(|error| problem::from_error(&error, config))?;
    Ok(snapshot(service, page))
}

/// Checks a bundle.
pub(crate) fn check(body: &[u8]) -> Value {
    let (digest, faults) = match parse_document(body) {
        Ok(document) => (Some(document.digest()), Vec::new()),
        Err(Error::Faults(faults)) => (None, faults),
        Err(error) => (None, vec![fault_of(&error)]),
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
    let document = parse_document(body).map_err(faulty)?;
    let view = read_log(service, config).await?;
    let changes = diff::between(view.projection.document().map(AsRef::as_ref), &document);
    Ok(json!({ "in_force": view.projection.position(), "changes": changes }))
}

/// Shows the effect of each record that the log keeps.
pub(crate) async fn history<S: Service>(service: &S, config: &Admin) -> Result<Value, Answer> {
    let view = read_log(service, config).await?;
    let lines: Vec<String> = view.events.iter().map(ToString::to_string).collect();
    Ok(json!({ "lines": lines }))
}

/// Shows the bundle in force by the log and the open proposals.
pub(crate) async fn status<S: Service>(service: &S, config: &Admin) -> Result<Value, Answer> {
    let view = read_log(service, config).await?;
    Ok(snapshot(service, State::from_view(&view)))
}

async fn read_log<S: Service>(service: &S, config: &Admin) -> Result<View, Answer> {
    let view = View::read(service.log(), &service.root_keys()).await;
    view.map_err(|error| problem::from_error(&error, config))
}

/// Wraps the content of a view with the instance and its position in the log.
fn snapshot<S: Service, T: Serialize>(service: &S, content: T) -> Value {
    json!(Snapshot {
        instance: service.instance(),
        domain: service.domain(),
        at_ms: service.now(),
        bundle: service.position(),
        bundle_age_ms: service.bundle_age_ms(),
        content,
    })
}

fn list_of<T>(bundle: &Option<Arc<Bundle>>, list: impl Fn(&Bundle) -> &Vec<T>) -> &[T] {
    bundle.as_deref().map_or(&[], |bundle| list(bundle))
}

/// Parses the query of the audit trail: `from` an offset, at most `limit` actions.
fn parse_page(config: &Admin, query: &str) -> Result<(u64, usize), Answer> {
    let refuse = |detail: String| Answer::refusal(Code::QueryInvalid, detail);
    let (mut from, mut limit) = (0, config.default_page_len);
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let invalid = || refuse(format!("`{pair}` is not from=OFFSET or limit=NUMBER"));
        let (name, value) = pair.split_once('=').ok_or_else(invalid)?;
        match name {
            "from" => from = value.parse().map_err(|_| invalid())?,
            "limit" => limit = value.parse().map_err(|_| invalid())?,
            _ => return Err(invalid()),
        }
    }
    if limit == 0 || limit > config.max_page_len {
        let max = config.max_page_len;
        return Err(refuse(format!("limit is from 1 to {max}")));
    }
    Ok((from, limit))
}

/// Parses a bundle in TOML and checks that it has no faults.
fn parse_document(body: &[u8]) -> Result<Document, Error> {
    let text = core::str::from_utf8(body).map_err(|error| Error::Usage(error.to_string()))?;
    check::parse("body", text).map_err(Error::Faults)?;
    Document::from_toml(text).map_err(|error| Error::Usage(error.to_string()))
}

fn fault_of(error: &Error) -> check::Fault {
    check::Fault {
        path: "body".to_owned(),
        reason: error.to_string(),
        nearest: None,
    }
}
