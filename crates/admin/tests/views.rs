//! Read views: authorization, content, and agreement with the OpenAPI description.

#[allow(dead_code, reason = "each test program uses only a part")]
mod fixture;

use base::Stamp;
use fixture::{COMPAS, Instance, NOW, Request, key, schema::mismatches, send};
use googletest::prelude::*;
use serde_json::json;

/// Returns a valid request for a route, except for the routes of actions.
fn valid_request(path: &str, method: &str) -> Option<Request> {
    let path = path.strip_prefix("/admin/v1").unwrap_or_default();
    match (method, path) {
        ("get", _) => Some(Request::get("viewer", path)),
        ("post", "/check" | "/diff") => Some(Request::post("viewer", path, COMPAS)),
        _ => None,
    }
}

#[gtest]
#[actix_web::test]
async fn every_answer_matches_its_schema() {
    let instance = Instance::with_bundle().await;
    let described = send(&instance, &Request::get("viewer", "/openapi.json")).await;
    let schemas = &described.body["components"]["schemas"];
    let mut answered = 0;
    for (path, item) in described.body["paths"].as_object().unwrap() {
        for (method, operation) in item.as_object().unwrap() {
            let Some(request) = valid_request(path, method) else {
                continue;
            };
            let reply = send(&instance, &request).await;
            expect_that!(reply.status, eq(200), "{method} {path}");
            let schema = &operation["responses"]["200"]["content"]["application/json"]["schema"];
            expect_that!(
                mismatches(path, &reply.body, schema, schemas),
                is_empty(),
                "{}",
                reply.body
            );
            answered += 1;
        }
    }
    // The three actions have their own tests.
    expect_that!(answered, eq(admin::route::ALL.len() - 3));
    let refused = send(&instance, &Request::get("nobody", "/pools")).await;
    let problem = json!({ "$ref": "#/components/schemas/Problem" });
    expect_that!(mismatches("", &refused.body, &problem, schemas), is_empty());
}

#[gtest]
#[actix_web::test]
async fn every_served_route_is_described_and_every_described_route_is_served() {
    let instance = Instance::with_bundle().await;
    let described = send(&instance, &Request::get("viewer", "/openapi.json")).await;
    let paths = described.body["paths"].as_object().unwrap();
    for (path, item) in paths {
        for method in ["GET", "POST", "PUT", "DELETE"] {
            let request = Request {
                method,
                target: path.clone(),
                body: String::new(),
                header: None,
            };
            let reply = send(&instance, &request).await;
            let is_public = path.ends_with("/openapi.json");
            let expected = match item.get(method.to_lowercase()) {
                Some(_) if is_public => 0,
                Some(_) => 600,
                None => 604,
            };
            expect_that!(reply.code(), eq(expected), "{method} {path}");
        }
    }
    // Routes outside the table are not served, and the description has exactly the routes of the table.
    let served: Vec<_> = admin::route::ALL
        .iter()
        .map(|route| format!("/admin/v1{}", route.path))
        .collect();
    expect_that!(paths.keys().cloned().collect::<Vec<_>>(), eq(&served));
    let other = send(&instance, &Request::get("author", "/secrets")).await;
    expect_that!(other.code(), eq(603));
}

#[gtest]
#[actix_web::test]
async fn a_view_names_its_instance() {
    let instance = Instance::with_bundle().await;
    let pools = send(&instance, &Request::get("viewer", "/pools"))
        .await
        .body;
    expect_that!(pools["instance"], eq(&json!("entry-1@7")));
    expect_that!(pools["domain"], eq(&json!("hall-1")));
    expect_that!(pools["bundle"]["version"], eq(&json!(1)));
    expect_that!(pools["bundle_age_ms"], eq(&json!(40)));
    let pools = pools["pools"].as_array().unwrap().clone();
    let api = pools.iter().find(|pool| pool["name"] == "entries-api");
    expect_that!(api.unwrap()["servers"][0]["leaving"], eq(&json!(true)));
    let accounts = send(&instance, &Request::get("viewer", "/accounts"))
        .await
        .body;
    expect_that!(
        accounts.to_string(),
        not(contains_substring("token_digest"))
    );
}

#[gtest]
#[actix_web::test]
async fn a_request_needs_a_matching_signature() {
    let instance = Instance::with_bundle().await;
    let good = Request::get("viewer", "/pools");
    let cases = [
        (
            600,
            Request {
                header: None,
                ..good.clone()
            },
        ),
        (
            600,
            Request {
                header: Some("Bearer abc".into()),
                ..good.clone()
            },
        ),
        (600, Request::get("nobody", "/pools")),
        (
            600,
            Request {
                target: "/admin/v1/accounts".into(),
                ..good.clone()
            },
        ),
        (
            600,
            Request {
                target: "/admin/v1/pools?a=b".into(),
                ..good.clone()
            },
        ),
        (
            600,
            Request {
                body: "more".into(),
                ..good.clone()
            },
        ),
        (0, good),
    ];
    for (code, request) in cases {
        let reply = send(&instance, &request).await;
        expect_that!(reply.code(), eq(code), "{request:?}");
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
            let request = Request {
                header: Some(header),
                ..Request::get("viewer", "/pools")
            };
            expect_that!(send(&instance, &request).await.code(), eq(code));
        }
    }
}

#[gtest]
#[actix_web::test]
async fn root_keys_have_access_until_a_bundle_is_in_force() {
    let instance = Instance::empty();
    for (role, code) in [("author", 0), ("founder", 0), ("viewer", 600)] {
        let reply = send(&instance, &Request::get(role, "/pipelines")).await;
        expect_that!(reply.code(), eq(code));
    }
    let status = send(&instance, &Request::get("author", "/status"))
        .await
        .body;
    expect_that!(status["in_force"], eq(&json!(null)));
    let limits = send(&instance, &Request::get("author", "/limits"))
        .await
        .body;
    expect_that!(limits["limits"], eq(&json!(null)));
    // Once a bundle is in force, only its signers and viewers have access.
    let instance = Instance::with_bundle().await;
    for (role, code) in [("author", 0), ("founder", 600), ("viewer", 0)] {
        let reply = send(&instance, &Request::get(role, "/pipelines")).await;
        expect_that!(reply.code(), eq(code), "{role}");
    }
}

#[gtest]
#[actix_web::test]
async fn views_of_the_instance_work_in_an_outage_of_the_log_and_views_of_the_log_fail() {
    let instance = Instance::with_bundle().await;
    instance.log.reads.set(Some(0));
    expect_that!(
        send(&instance, &Request::get("viewer", "/pools"))
            .await
            .code(),
        eq(0)
    );
    for path in ["/audit", "/history", "/status"] {
        let reply = send(&instance, &Request::get("viewer", path)).await;
        expect_that!((reply.code(), reply.retry_after), eq((610, true)));
        expect_that!(reply.body["outcome"], eq(&json!("not_run")));
    }
}
