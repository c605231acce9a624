//! An instance that is not there, and operators who ask it.

#[path = "../../../ctl/tests/common/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part")]
pub(crate) mod common;

pub(crate) mod fit;

use std::{cell::Cell, rc::Rc, sync::Arc};

use actix_web::{App, dev::ServiceResponse, http::Method, test};
use admin::{
    configs::admin::Admin,
    view::{Demand, InFlight, Load, Server, Suspect, Verdict},
};
use base::{Digest, Name, Stamp, request::Id};
use bundle::{Bundle, Position, sign::Key};
use serde_json::Value;

pub(crate) use common::Memory;

pub(crate) const COMPAS: &str = include_str!("../../../../examples/compas.toml");

/// The instance's time.
pub(crate) const NOW: Stamp = Stamp::from_millis(1_700_000_000_000);

/// What one instance knows.
pub(crate) struct Instance {
    pub(crate) bundle: Option<Arc<Bundle>>,
    pub(crate) log: Memory,
    ids: Cell<u128>,
}

impl Instance {
    /// Returns an instance that has the example in force, with one viewer.
    pub(crate) async fn open() -> Rc<Self> {
        let log = Memory::default();
        let text = with_viewer(1);
        ctl::roll_out_all(&log, &text, &key("author"), &key("steward"))
            .await
            .expect("the bundle is rolled out");
        log.appends.set(0);
        Rc::new(Self {
            bundle: Some(Arc::new(Bundle::from_toml(&text).expect("a bundle"))),
            log,
            ids: Cell::default(),
        })
    }

    /// Returns an instance that has no bundle in force.
    pub(crate) fn empty() -> Rc<Self> {
        Rc::new(Self {
            bundle: None,
            log: Memory::default(),
            ids: Cell::default(),
        })
    }

    /// Returns a session of an operator with the same log.
    pub(crate) fn session(&self, dry_run: bool) -> ctl::Session<'_, Memory> {
        ctl::Session {
            log: &self.log,
            roots: roots(),
            dry_run,
            appender: "tests".into(),
        }
    }
}

impl admin::Service for Instance {
    type Log = Memory;

    fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle.clone()
    }

    fn bundle_age_ms(&self) -> Option<u64> {
        Some(40)
    }

    fn domain(&self) -> Name {
        "hall-1".into()
    }

    fn new_request_id(&self) -> Id {
        self.ids.set(self.ids.get() + 1);
        Id::from_random(self.ids.get())
    }

    fn in_flight(&self) -> InFlight {
        InFlight {
            requests: 2,
            with_background: 3,
            stopping: false,
        }
    }

    fn instance(&self) -> Name {
        "entry-1@7".into()
    }

    fn log(&self) -> &Memory {
        &self.log
    }

    fn now(&self) -> Stamp {
        NOW
    }

    fn position(&self) -> Option<Position> {
        self.bundle.as_ref().map(|bundle| Position {
            offset: 2,
            digest: Digest::of(b"bundle"),
            version: bundle.version,
        })
    }

    fn root_keys(&self) -> Vec<Digest> {
        roots()
    }

    fn servers(&self) -> Vec<Server> {
        vec![Server {
            pool: "entries-api".into(),
            incarnation: "api-1@3".into(),
            domain: "hall-1".into(),
            address: "127.0.0.1:9".into(),
            leaving: true,
            load: Some(Load {
                running: 1,
                waiting: 0,
                age_ms: 12,
            }),
        }]
    }

    fn demands(&self) -> Vec<Demand> {
        vec![Demand {
            domain: "hall-2".into(),
            heard: false,
            account: "stewards".into(),
            requests_per_second: 1.5,
        }]
    }

    fn suspects(&self) -> Vec<Suspect> {
        vec![Suspect {
            digest: Digest::of(b"content"),
            crashed: 1,
            cleared: 0,
            verdict: Verdict::Alone,
        }]
    }
}

/// A request of an operator.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) method: &'static str,
    pub(crate) target: String,
    pub(crate) body: String,
    /// The header; none for a request without one.
    pub(crate) header: Option<String>,
}

impl Ask {
    /// Returns a request that an operator signed.
    pub(crate) fn new(role: &str, method: &'static str, path: &str, body: &str) -> Self {
        let target = format!("/admin/v1{path}");
        let header = ctl::request::sign(&key(role), method, &target, body, NOW).to_string();
        Self {
            method,
            target,
            body: body.to_owned(),
            header: Some(header),
        }
    }

    /// Returns a signed `GET`.
    pub(crate) fn get(role: &str, path: &str) -> Self {
        Self::new(role, "GET", path, "")
    }

    /// Returns a signed `POST`.
    pub(crate) fn post(role: &str, path: &str, body: &str) -> Self {
        Self::new(role, "POST", path, body)
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) kind: String,
    pub(crate) retry_after: bool,
    pub(crate) body: Value,
}

impl Reply {
    /// Returns the result code of a refusal; 0 for an answer.
    pub(crate) fn code(&self) -> u64 {
        self.body["code"].as_u64().unwrap_or_default()
    }

    /// Returns the words of a refusal.
    pub(crate) fn detail(&self) -> &str {
        self.body["detail"].as_str().unwrap_or_default()
    }
}

/// Sends a request to an instance.
pub(crate) async fn send(instance: &Rc<Instance>, ask: &Ask) -> Reply {
    let served = Rc::clone(instance);
    let app = App::new().configure(move |config| {
        admin::configure(config, served, Admin::default());
    });
    let app = test::init_service(app).await;
    let method = Method::from_bytes(ask.method.as_bytes()).expect("a method");
    let mut request = test::TestRequest::with_uri(&ask.target).method(method);
    if let Some(header) = &ask.header {
        request = request.insert_header(("Authorization", header.as_str()));
    }
    let request = request.set_payload(ask.body.clone()).to_request();
    reply(test::call_service(&app, request).await).await
}

async fn reply(response: ServiceResponse) -> Reply {
    let header = |name: &str| {
        let value = response.headers().get(name);
        value.map(|value| value.to_str().expect("text").to_owned())
    };
    let (kind, retry_after) = (header("Content-Type"), header("Retry-After"));
    Reply {
        status: response.status().as_u16(),
        kind: kind.unwrap_or_default(),
        retry_after: retry_after.is_some(),
        body: test::read_body_json(response).await,
    }
}

/// Returns the key of a role.
pub(crate) fn key(role: &str) -> Key {
    Key::example(role)
}

fn roots() -> Vec<Digest> {
    ["author", "founder", "steward"]
        .map(|role| key(role).public())
        .into()
}

/// Returns a version of the example with one viewer.
pub(crate) fn with_viewer(version: u64) -> String {
    let public = key("viewer").public();
    let text = COMPAS.replace("version = 1", &format!("version = {version}"));
    text + &format!("\n[[viewers]]\nname = \"hall-door\"\npublic_key = \"{public}\"\n")
}
