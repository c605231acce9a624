//! JSON schemas of the answers.

use serde_json::{Map, Value, json};

/// Returns all schemas by name.
///
/// # Examples
///
/// ```
/// assert_eq!(admin::schema::all()["Done"]["type"], "object");
/// ```
pub fn all() -> Value {
    json!({
        "Accounts": snapshot(&[("accounts", list(&object(&[
            ("burst_requests", count()),
            ("name", text()),
            ("requests_per_second", number()),
            ("weight", count()),
        ])))]),
        "Audit": snapshot(&[("entries", list(&audit_entry())), ("next", nullable(&count()))]),
        "Check": object(&[
            ("digest", nullable(&text())),
            ("faults", list(&object(&[
                ("nearest", nullable(&text())),
                ("path", text()),
                ("reason", text()),
            ]))),
        ]),
        "Diff": object(&[
            ("changes", list(&json!({
                "type": "object",
                "properties": {
                    "change": one_of(&["added", "changed", "removed"]),
                    "new": text(),
                    "old": text(),
                    "path": text(),
                },
                "required": ["change", "path"],
            }))),
            ("in_force", nullable(&position())),
        ]),
        "Done": object(&[
            ("digest", text()),
            ("instance", text()),
            ("offset", nullable(&count())),
            ("repeated", flag()),
            ("version", count()),
        ]),
        "History": object(&[("lines", list(&text()))]),
        "InFlight": snapshot(&[
            ("requests", count()),
            ("stopping", flag()),
            ("with_background", count()),
        ]),
        "Limits": snapshot(&[
            ("limits", nullable(&object(&[
                ("body_bytes", count()),
                ("queue_requests", count()),
                ("retry_percent", count()),
                ("sign_offs", count()),
            ]))),
            ("others", list(&object(&[
                ("account", text()),
                ("domain", text()),
                ("heard", flag()),
                ("requests_per_second", number()),
            ]))),
        ]),
        "OpenApi": json!({ "type": "object" }),
        "Pipelines": snapshot(&[("pipelines", list(&pipeline()))]),
        "Pools": snapshot(&[("pools", list(&pool()))]),
        "Problem": problem(),
        "Status": snapshot(&[
            ("in_force", nullable(&position())),
            ("known", flag()),
            ("next_offset", count()),
            ("proposed", list(&object(&[
                ("author", text()),
                ("base", nullable(&text())),
                ("digest", text()),
                ("signed_off_by", list(&text())),
                ("version", count()),
            ]))),
        ]),
        "Suspects": snapshot(&[("suspects", list(&object(&[
            ("cleared", count()),
            ("crashed", count()),
            ("digest", text()),
            ("verdict", one_of(&["alone", "free", "refused"])),
        ])))]),
    })
}

/// Returns the schema of a read view: the given fields and those common to all views.
fn snapshot(fields: &[(&str, Value)]) -> Value {
    let mut all = vec![
        ("at_ms", count()),
        ("bundle", nullable(&position())),
        ("bundle_age_ms", nullable(&count())),
        ("domain", text()),
        ("instance", text()),
    ];
    all.extend_from_slice(fields);
    object(&all)
}

fn audit_entry() -> Value {
    object(&[
        (
            "act",
            one_of(&["publish", "roll_out", "sign_off", "unreadable"]),
        ),
        ("at_ms", nullable(&count())),
        ("by", nullable(&text())),
        ("detail", text()),
        ("digest", nullable(&text())),
        ("offset", count()),
        (
            "outcome",
            one_of(&["accepted", "refused", "repeated", "unknown"]),
        ),
        ("who", text()),
    ])
}

fn pipeline() -> Value {
    object(&[
        ("accounts", list(&text())),
        ("deadline_ms", count()),
        ("deferred", flag()),
        ("name", text()),
        ("objective", number()),
        ("priority", count()),
        (
            "stages",
            list(&object(&[
                ("idempotent", flag()),
                ("model", text()),
                ("name", text()),
                ("operation", text()),
                ("pool", text()),
            ])),
        ),
    ])
}

fn pool() -> Value {
    let load = object(&[
        ("age_ms", count()),
        ("running", count()),
        ("waiting", count()),
    ]);
    object(&[
        ("checks_fencing", flag()),
        ("concurrency", count()),
        (
            "kind",
            one_of(&["encode", "generate", "rerank", "retrieve", "service"]),
        ),
        ("memory_bytes", count()),
        ("models", list(&text())),
        ("name", text()),
        ("reports_load", flag()),
        (
            "servers",
            list(&object(&[
                ("address", text()),
                ("domain", text()),
                ("incarnation", text()),
                ("leaving", flag()),
                ("load", nullable(&load)),
            ])),
        ),
    ])
}

fn position() -> Value {
    object(&[
        ("digest", text()),
        ("offset", count()),
        ("version", count()),
    ])
}

/// Returns the schema of a refusal by RFC 9457; `retry_after_ms` is present if a retry can succeed.
fn problem() -> Value {
    let mut problem = object(&[
        ("code", count()),
        ("detail", text()),
        ("outcome", text()),
        ("request", text()),
        ("stages", json!({ "type": "array" })),
        ("status", count()),
        ("title", text()),
        ("type", text()),
    ]);
    problem["properties"]["retry_after_ms"] = count();
    problem
}

/// Returns the schema of an object with exactly these fields.
fn object(fields: &[(&str, Value)]) -> Value {
    let names: Vec<&str> = fields.iter().map(|(name, _)| *name).collect();
    let properties: Map<String, Value> = fields
        .iter()
        .map(|(name, schema)| ((*name).to_owned(), schema.clone()))
        .collect();
    json!({
        "type": "object",
        "properties": properties,
        "required": names,
        "additionalProperties": false,
    })
}

fn list(items: &Value) -> Value {
    json!({ "type": "array", "items": items })
}

fn nullable(schema: &Value) -> Value {
    json!({ "anyOf": [schema, { "type": "null" }] })
}

fn one_of(values: &[&str]) -> Value {
    json!({ "type": "string", "enum": values })
}

fn count() -> Value {
    json!({ "type": "integer", "minimum": 0 })
}

fn flag() -> Value {
    json!({ "type": "boolean" })
}

fn number() -> Value {
    json!({ "type": "number" })
}

fn text() -> Value {
    json!({ "type": "string" })
}
