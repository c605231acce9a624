//! JSON bodies of answers.

use base::{Code, Key, request::Id};
use flow::Answer;
use serde_json::{Value, json};

/// Returns the JSON body of an answer: the complete output, or a problem as of RFC 9457.
pub(crate) fn encode(answer: &Answer, request: Id, key: Option<Key>) -> Value {
    let mut body = json!({
        "code": answer.code,
        "outcome": answer.outcome,
        "request": request,
        "stages": answer.stages,
    });
    if let Some(key) = key {
        body["key"] = json!(key);
    }
    if answer.code == Code::Answered {
        body["output"] = answer.output.clone();
        return body;
    }
    body["type"] = json!(format!("urn:limpetstep:code:{}", answer.code.number()));
    body["title"] = json!(answer.code.title());
    body["status"] = json!(answer.code.status());
    body["detail"] = json!(answer.detail);
    if let Some(delay) = answer.retry_after {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        body["retry_after_ms"] = json!(millis);
    }
    body
}
