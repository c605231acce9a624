//! Whether an answer has the fields that are described.

use serde_json::Value;

/// Looks through a value by a schema and returns what does not fit.
pub(crate) fn misfits(path: &str, value: &Value, schema: &Value, all: &Value) -> Vec<String> {
    if let Some(name) = schema["$ref"].as_str() {
        let name = name.rsplit('/').next().unwrap_or_default();
        return misfits(path, value, &all[name], all);
    }
    if let Some(any) = schema["anyOf"].as_array() {
        let found: Vec<_> = any
            .iter()
            .map(|schema| misfits(path, value, schema, all))
            .collect();
        return if found.iter().any(Vec::is_empty) {
            Vec::new()
        } else {
            found.concat()
        };
    }
    let fits = match schema["type"].as_str() {
        Some("object") => value.is_object(),
        Some("array") => value.is_array(),
        Some("string") => value.is_string(),
        Some("integer") => value.is_u64(),
        Some("number") => value.is_number(),
        Some("boolean") => value.is_boolean(),
        Some("null") => value.is_null(),
        _ => false,
    };
    let listed = schema["enum"]
        .as_array()
        .is_none_or(|all| all.contains(value));
    if !fits || !listed {
        return vec![format!("{path}: {value}")];
    }
    let mut found = Vec::new();
    for item in value.as_array().into_iter().flatten() {
        found.extend(misfits(path, item, &schema["items"], all));
    }
    for name in schema["required"].as_array().into_iter().flatten() {
        let name = name.as_str().unwrap_or_default();
        if value.get(name).is_none() {
            found.push(format!("{path}.{name} is missing"));
        }
    }
    let properties = schema["properties"].as_object();
    for (name, item) in value.as_object().into_iter().flatten() {
        match properties.and_then(|properties| properties.get(name)) {
            Some(schema) => found.extend(misfits(&format!("{path}.{name}"), item, schema, all)),
            None if properties.is_some() => found.push(format!("{path}.{name} is not described")),
            None => {}
        }
    }
    found
}
