//! The expected answer to a request, computed without the system under test.

use base::Key;
use bundle::{Bundle, content};
use fake::{
    configs,
    server::{Kind, output},
};
use serde_json::{Value, json};

/// Returns the output of a pipeline's last stage.
///
/// # Panics
///
/// Panics if the bundle lacks the pipeline or one of its pools.
///
/// # Examples
///
/// ```no_run
/// # fn check(bundle: &bundle::Bundle) {
/// let input = serde_json::json!({"entry": 7});
/// let output = proc::expect::output(bundle, "status", &input, None);
/// # }
/// ```
pub fn output(bundle: &Bundle, pipeline: &str, input: &Value, key: Option<Key>) -> Value {
    let pipeline = bundle.pipeline(pipeline).expect("a pipeline");
    let key = key.map(|key| key.to_string());
    let tokens = configs::server::Config::default().tokens;
    let mut previous = Value::Null;
    for stage in &pipeline.stages {
        let pool = bundle.pool(stage.pool.as_str()).expect("a pool");
        let input = json!({ "request": input, "previous": previous });
        let operation = stage.operation().as_str();
        previous = output::compute(kind(pool.kind), operation, key.as_deref(), &input, tokens);
    }
    previous
}

/// Returns the kind of fake server for a pool.
pub fn kind(kind: content::Kind) -> Kind {
    match kind {
        content::Kind::Encode => Kind::Encode,
        content::Kind::Generate => Kind::Generate,
        content::Kind::Rerank => Kind::Rerank,
        content::Kind::Retrieve => Kind::Retrieve,
        content::Kind::Service => Kind::Service,
    }
}
