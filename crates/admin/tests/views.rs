//! Who may look, what they see, and that the description says the same.

#[allow(dead_code, reason = "each test program uses a part")]
mod world;

use base::Stamp;
use googletest::prelude::*;
use serde_json::json;
use world::{Ask, COMPAS, Instance, NOW, fit::misfits, key, send};

/// Returns a request that the route answers.
fn ask(path: &str, method: &str) -> Option<Ask> {
    let path = path.strip_prefix("/admin/v1").unwrap_or_default();
    match (method, path) {
        ("get", _) => Some(Ask::get("viewer", path)),
        ("post", "/check" | "/diff") => Some(Ask::post("viewer", path, COMPAS)),
        _ => None,
    }
}

#[gtest]
#[actix_web::test]
async fn every_answer_has_the_fields_that_are_described() {
    let instance = Instance::open().await;
    let described = send(&instance, &Ask::get("viewer", "/openapi.json")).await;
    let schemas = &described.body["components"]["schemas"];
    let mut answered = 0;
    for (path, item) in described.body["paths"].as_object().unwrap() {
        for (method, operation) in item.as_object().unwrap() {
            let Some(ask) = ask(path, method) else {
                continue;
            };
            let reply = send(&instance, &ask).await;
            expect_that!(reply.status, eq(200), "{method} {path}");
            let schema = &operation["responses"]["200"]["content"]["application/json"]["schema"];
            expect_that!(
                misfits(path, &reply.body, schema, schemas),
                is_empty(),
                "{}",
                reply.body
            );
            answered += 1;
        }
    }
    // The three acts have their own tests.
    expect_that!(answered, eq(admin::route::ALL.len() - 3));
    let refused = send(&instance, &Ask::get("nobody", "/pools")).await;
    let problem = json!({ "$ref": "#/components/schemas/Problem" });
    expect_that!(misfits("", &refused.body, &problem, schemas), is_empty());
}

#[gtest]
#[actix_web::test]
async fn every_served_route_is_described_and_every_described_route_is_served() {
    let instance = Instance::open().await;
    let described = send(&instance, &Ask::get("viewer", "/openapi.json")).await;
    let paths = described.body["paths"].as_object().unwrap();
    for (path, item) in paths {
        for method in ["GET", "POST", "PUT", "DELETE"] {
            let ask = Ask {
                method,
                target: path.clone(),
                body: String::new(),
                header: None,
            };
            let reply = send(&instance, &ask).await;
            let open = path.ends_with("/openapi.json");
            let wanted = match item.get(method.to_lowercase()) {
                Some(_) if open => 0,
                Some(_) => 600,
                None => 604,
            };
            expect_that!(reply.code(), eq(wanted), "{method} {path}");
        }
    }
    // What isn't in the table isn't served, and the table is the description.
    let served: Vec<_> = admin::route::ALL
        .iter()
        .map(|route| format!("/admin/v1{}", route.path))
        .collect();
    expect_that!(paths.keys().cloned().collect::<Vec<_>>(), eq(&served));
    let other = send(&instance, &Ask::get("author", "/secrets")).await;
    expect_that!(other.code(), eq(603));
}

#[gtest]
#[actix_web::test]
async fn a_view_says_which_instance_it_is_of() {
    let instance = Instance::open().await;
    let pools = send(&instance, &Ask::get("viewer", "/pools")).await.body;
    expect_that!(pools["instance"], eq(&json!("entry-1@7")));
    expect_that!(pools["domain"], eq(&json!("hall-1")));
    expect_that!(pools["bundle"]["version"], eq(&json!(1)));
    expect_that!(pools["bundle_age_ms"], eq(&json!(40)));
    let pools = pools["pools"].as_array().unwrap().clone();
    let api = pools.iter().find(|pool| pool["name"] == "entries-api");
    expect_that!(api.unwrap()["servers"][0]["leaving"], eq(&json!(true)));
    let accounts = send(&instance, &Ask::get("viewer", "/accounts")).await.body;
    expect_that!(
        accounts.to_string(),
        not(contains_substring("token_digest"))
    );
}

#[gtest]
#[actix_web::test]
async fn a_request_needs_a_signature_that_fits_it() {
    let instance = Instance::open().await;
    let good = Ask::get("viewer", "/pools");
    let cases = [
        (
            600,
            Ask {
                header: None,
                ..good.clone()
            },
        ),
        (
            600,
            Ask {
                header: Some("Bearer abc".into()),
                ..good.clone()
            },
        ),
        (600, Ask::get("nobody", "/pools")),
        (
            600,
            Ask {
                target: "/admin/v1/accounts".into(),
                ..good.clone()
            },
        ),
        (
            600,
            Ask {
                target: "/admin/v1/pools?a=b".into(),
                ..good.clone()
            },
        ),
        (
            600,
            Ask {
                body: "more".into(),
                ..good.clone()
            },
        ),
        (0, good),
    ];
    for (code, ask) in cases {
        let reply = send(&instance, &ask).await;
        expect_that!(reply.code(), eq(code), "{ask:?}");
        let kind = if code == 0 {
            "application/json"
        } else {
            "application/problem+json"
        };
        expect_that!(reply.kind, eq(kind));
    }
    for (code, millis) in [(0, 59_000), (601, 61_000)] {
        let now = NOW.as_millis();
        for at in [now - millis, now + millis] {
            let target = "/admin/v1/pools";
            let at = Stamp::from_millis(at);
            let header = ctl::request::sign(&key("viewer"), "GET", target, "", at).to_string();
            let ask = Ask {
                header: Some(header),
                ..Ask::get("viewer", "/pools")
            };
            expect_that!(send(&instance, &ask).await.code(), eq(code));
        }
    }
}

#[gtest]
#[actix_web::test]
async fn before_a_bundle_is_in_force_the_root_keys_may_ask() {
    let instance = Instance::empty();
    for (role, code) in [("author", 0), ("founder", 0), ("viewer", 600)] {
        let reply = send(&instance, &Ask::get(role, "/pipelines")).await;
        expect_that!(reply.code(), eq(code));
    }
    let status = send(&instance, &Ask::get("author", "/status")).await.body;
    expect_that!(status["in_force"], eq(&json!(null)));
    let limits = send(&instance, &Ask::get("author", "/limits")).await.body;
    expect_that!(limits["limits"], eq(&json!(null)));
    // From then on only the bundle says who may.
    let instance = Instance::open().await;
    for (role, code) in [("author", 0), ("founder", 600), ("viewer", 0)] {
        let reply = send(&instance, &Ask::get(role, "/pipelines")).await;
        expect_that!(reply.code(), eq(code), "{role}");
    }
}

#[gtest]
#[actix_web::test]
async fn what_the_instance_knows_is_shown_in_an_outage_and_what_the_log_knows_is_not() {
    let instance = Instance::open().await;
    instance.log.reads.set(Some(0));
    expect_that!(
        send(&instance, &Ask::get("viewer", "/pools")).await.code(),
        eq(0)
    );
    for path in ["/audit", "/history", "/status"] {
        let reply = send(&instance, &Ask::get("viewer", path)).await;
        expect_that!((reply.code(), reply.retry_after), eq((610, true)));
        expect_that!(reply.body["outcome"], eq(&json!("not_run")));
    }
}
