//! Encoding of log records as JSON lines.

use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, json};

/// Encodes a record as one line of JSON.
///
/// # Examples
///
/// ```
/// let record = log::Record::builder().target("relay").level(log::Level::Info).build();
/// assert!(logs::format("sent", &record).contains("\"area\":\"relay\""));
/// ```
pub fn format(message: &str, record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".to_owned(), json!(timestamp()));
    fields
        .0
        .insert("level".to_owned(), json!(record.level().as_str()));
    fields.0.insert("area".to_owned(), json!(record.target()));
    fields.0.insert("message".to_owned(), json!(message));
    if let Err(error) = record.key_values().visit(&mut fields) {
        fields
            .0
            .insert("fault".to_owned(), json!(error.to_string()));
    }
    serde_json::Value::Object(fields.0).to_string()
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!(number)
        } else if let Some(flag) = value.to_bool() {
            json!(flag)
        } else {
            json!(value.to_string())
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn timestamp() -> String {
    time::OffsetDateTime::now_utc()
        .format(&time::format_description::well_known::Rfc3339)
        .unwrap_or_else(|error| error.to_string())
}
