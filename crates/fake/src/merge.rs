//! Partial changes to settings written in JSON.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Error, Value};

/// Returns `settings` with the fields in `change` replaced.
///
/// # Errors
///
/// A field is unknown or has a value of another type.
pub(crate) fn merge<T: Serialize + DeserializeOwned>(
    settings: &T,
    change: &Value,
) -> Result<T, Error> {
    let mut merged = serde_json::to_value(settings)?;
    if let (Value::Object(merged), Value::Object(change)) = (&mut merged, change) {
        merged.extend(change.clone());
    }
    serde_json::from_value(merged)
}
