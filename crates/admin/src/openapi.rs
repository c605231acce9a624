//! The OpenAPI description, built from the table of routes.

use base::Code;
use serde_json::{Map, Value, json};

use crate::{
    route::{self, Input, Route},
    schema,
};

/// The version of the OpenAPI specification.
const OPENAPI_VERSION: &str = "3.1.0";

/// Refusals common to all routes that need a credential.
const COMMON_REFUSALS: &[Code] = &[
    Code::BodyTooLarge,
    Code::OperatorUnknown,
    Code::OperatorStale,
    Code::OperatorForbidden,
    Code::QueryInvalid,
];

/// Returns the OpenAPI description as JSON.
///
/// # Examples
///
/// ```
/// let description = admin::openapi::describe();
/// assert!(description["paths"]["/admin/v1/pools"]["get"].is_object());
/// ```
pub fn describe() -> Value {
    let mut paths = Map::new();
    for route in route::ALL {
        let path = format!("{}{}", route::ROOT, route.path);
        let method = route.input.method().to_lowercase();
        let mut item = Map::new();
        item.insert(method, operation(route));
        paths.insert(path, Value::Object(item));
    }
    json!({
        "openapi": OPENAPI_VERSION,
        "info": {
            "title": "limpetstep administration",
            "version": env!("CARGO_PKG_VERSION"),
        },
        "paths": paths,
        "components": {
            "schemas": schema::all(),
            "securitySchemes": { "operator": {
                "type": "apiKey",
                "in": "header",
                "name": "Authorization",
                "description": "Limpetstep key=PUBLIC,at=MILLISECONDS,signature=SIGNATURE; \
                    `limpetstep-ctl request METHOD TARGET` prints it",
            }},
        },
    })
}

fn operation(route: &Route) -> Value {
    let mut operation = json!({
        "operationId": route.path.trim_start_matches('/'),
        "summary": route.summary,
        "responses": responses(route),
        "security": [],
    });
    if route.role.is_some() {
        operation["security"] = json!([{ "operator": [] }]);
    }
    match route.input {
        Input::Bundle => {
            operation["requestBody"] =
                request_body("application/toml", &json!({ "type": "string" }));
        }
        Input::Record => {
            operation["requestBody"] =
                request_body("application/json", &json!({ "type": "object" }));
        }
        Input::PageQuery => {
            operation["parameters"] = json!([parameter("from"), parameter("limit")])
        }
        Input::Empty => {}
    }
    operation
}

fn request_body(kind: &str, schema: &Value) -> Value {
    json!({ "required": true, "content": { kind: { "schema": schema } } })
}

fn parameter(name: &str) -> Value {
    json!({ "name": name, "in": "query", "schema": { "type": "integer", "minimum": 0 } })
}

/// Returns the responses of a route by status; the description of a refusal lists its codes.
fn responses(route: &Route) -> Value {
    let content = |kind: &str, name: &str| {
        let schema = json!({ "$ref": format!("#/components/schemas/{name}") });
        json!({ kind: { "schema": schema } })
    };
    let mut responses = Map::new();
    responses.insert(
        "200".to_owned(),
        json!({ "description": "Done.", "content": content("application/json", route.answer_schema) }),
    );
    for code in refusals(route) {
        let response = responses
            .entry(code.status().to_string())
            .or_insert_with(|| {
                let content = content("application/problem+json", "Problem");
                json!({ "description": "", "content": content })
            });
        let codes = response["description"].as_str().unwrap_or_default();
        response["description"] = json!(format!("{codes}{code} ").trim_start());
    }
    Value::Object(responses)
}

fn refusals(route: &Route) -> Vec<Code> {
    if route.role.is_none() {
        return Vec::new();
    }
    let mut codes = [COMMON_REFUSALS, route.refusals].concat();
    codes.sort_unstable();
    codes.dedup();
    codes
}
