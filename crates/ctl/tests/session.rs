//! A complete session of two operators with the program and its output.

use std::{
    fs,
    path::PathBuf,
    process::Command,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
    },
};

use actix_web::{App, HttpResponse, HttpServer, web};
use bundle::sign::Key;
use googletest::prelude::*;
use serde::Deserialize;
use serde_json::json;

const COMPAS: &str = include_str!("../../../examples/compas.toml");

/// A log service that answers appends with a status set by the test.
#[derive(Clone, Default)]
struct Service {
    records: Arc<Mutex<Vec<String>>>,
    /// The status of the next append; 0 for success.
    status: Arc<AtomicU16>,
    /// The position of the entry instance.
    position: Arc<Mutex<serde_json::Value>>,
}

#[derive(Deserialize)]
struct Append {
    body: String,
}

#[derive(Deserialize)]
struct Range {
    from: usize,
    limit: usize,
}

async fn append(service: web::Data<Service>, append: web::Json<Append>) -> HttpResponse {
    let status = service.status.swap(0, Ordering::SeqCst);
    let mut records = service.records.lock().unwrap();
    // By the service's contract a 503 means no effect; after a 504 the effect is unknown, and here the record is not appended.
    if status == 0 || status == 500 {
        records.push(append.into_inner().body);
    }
    match status {
        0 => HttpResponse::Ok().json(json!({ "offset": records.len() - 1 })),
        status => HttpResponse::build(status.try_into().unwrap()).finish(),
    }
}

/// Answers like an entry instance with the position set by the test.
async fn position(service: web::Data<Service>) -> HttpResponse {
    HttpResponse::Ok().json(service.position.lock().unwrap().clone())
}

async fn read(service: web::Data<Service>, range: web::Query<Range>) -> HttpResponse {
    let records = service.records.lock().unwrap();
    let kept: Vec<_> = records
        .iter()
        .enumerate()
        .skip(range.from)
        .take(range.limit)
        .map(|(offset, body)| json!({ "offset": offset, "body": body }))
        .collect();
    HttpResponse::Ok().json(json!({ "first": 0, "end": records.len(), "records": kept }))
}

/// Runs the program and records command lines and output.
struct Operators {
    platform: String,
    folder: PathBuf,
    transcript: String,
}

impl Operators {
    async fn run(&mut self, line: &str) -> i32 {
        let roots = ["author", "steward"].map(|role| Key::example(role).public().to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_limpetstep-ctl"));
        command
            .args(line.split(' '))
            .current_dir(&self.folder)
            .env_clear()
            .env("LIMPETSTEP_PLATFORM", &self.platform)
            .env("LIMPETSTEP_ROOTS", roots.join(","));
        let output = web::block(move || command.output()).await.unwrap().unwrap();
        let code = output.status.code().unwrap();
        let output = [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).unwrap());
        self.transcript += &format!(
            "$ limpetstep-ctl {line}\n{}[exit {code}]\n",
            output.concat()
        );
        code
    }
}

fn folder() -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("session");
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    for role in ["author", "steward"] {
        let secret = Key::example(role).secret();
        fs::write(folder.join(format!("{role}.key")), secret).unwrap();
    }
    let two = COMPAS
        .replace("version = 1", "version = 2")
        .replace("retry_percent = 10", "retry_percent = 5");
    let faulty = COMPAS.replace("pool = \"limpet-pool\"", "pool = \"limpet-pol\"");
    fs::write(folder.join("one.toml"), COMPAS).unwrap();
    fs::write(folder.join("two.toml"), two).unwrap();
    fs::write(folder.join("faulty.toml"), faulty).unwrap();
    folder
}

fn digest(text: &str) -> String {
    bundle::Document::from_toml(text)
        .unwrap()
        .digest()
        .to_string()
}

#[gtest]
#[actix_web::test]
async fn the_output_of_a_session_matches_the_snapshot() {
    let service = Service::default();
    let data = web::Data::new(service.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::JsonConfig::default().limit(16 << 20))
            .route("/log/{stream}", web::post().to(append))
            .route("/log/{stream}", web::get().to(read))
            .route("/v1/position", web::get().to(position))
    });
    let server = server.workers(1).bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    let platform = format!("http://{address}");
    actix_web::rt::spawn(server.run());
    let folder = folder();
    let two = fs::read_to_string(folder.join("two.toml")).unwrap();
    let (one, two) = (digest(COMPAS), digest(&two));
    let mut operators = Operators {
        platform,
        folder,
        transcript: String::new(),
    };
    let mut codes = Vec::new();
    for line in [
        "status",
        "check faulty.toml",
        "check one.toml",
        "check none.toml",
        "--key author.key publish one.toml",
        &format!("--key author.key sign-off {one}"),
        &format!("--key author.key roll-out {one} --base none"),
        &format!("--key steward.key sign-off {one}"),
        &format!("--key author.key --dry-run roll-out {one} --base none"),
        &format!("--key author.key roll-out {one} --base none"),
        "diff two.toml",
    ] {
        codes.push(operators.run(line).await);
    }
    expect_that!(codes, eq(&[0, 1, 0, 2, 0, 1, 1, 0, 0, 0, 0]));
    let publish = "--key author.key publish two.toml";
    service.status.store(503, Ordering::SeqCst);
    expect_that!(operators.run(publish).await, eq(3));
    service.status.store(504, Ordering::SeqCst);
    expect_that!(operators.run(publish).await, eq(4));
    // The answer is lost, but the record is appended.
    service.status.store(500, Ordering::SeqCst);
    expect_that!(operators.run(publish).await, eq(0));
    let mut codes = Vec::new();
    for line in [
        &format!("--key steward.key sign-off {two}"),
        &format!("--key steward.key roll-out {two} --base none"),
        &format!("--key steward.key roll-out {two} --base {one}"),
        "--json status",
        "history",
        "roll-out",
    ] {
        codes.push(operators.run(line).await);
    }
    expect_that!(codes, eq(&[0, 1, 0, 0, 0, 2]));
    // The instance has no bundle, then the first one, then the second one.
    let entries = format!("--entries {address} status");
    expect_that!(operators.run(&entries).await, eq(0));
    for (version, digest) in [(1, &one), (2, &two)] {
        let at = json!({ "version": version, "offset": 2, "digest": digest });
        *service.position.lock().unwrap() = at;
        expect_that!(operators.run(&entries).await, eq(0));
    }
    let entries = format!("--entries {address},127.0.0.1:1 status");
    expect_that!(operators.run(&entries).await, eq(0));
    expect_that!(operators.run("keygen new.key").await, eq(0));
    expect_that!(operators.run("keygen new.key").await, eq(2));
    let new = fs::read_to_string(operators.folder.join("new.key")).unwrap();
    let public = Key::parse(&new).unwrap().public().to_string();
    let transcript = operators.transcript.replace(&public, "NEW-KEY");
    let transcript = transcript.replace(&address.to_string(), "ENTRY");
    insta::assert_snapshot!("session", transcript);
}
