//! Tests of the `limpetstep-fake` program as a separate process.

use std::{
    io::{BufRead as _, BufReader},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use awc::Client;
use googletest::prelude::*;
use platform::Http;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(20);

struct Process {
    child: Child,
    url: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(args: &[&str]) -> Process {
    let mut child = Command::new(env!("CARGO_BIN_EXE_limpetstep-fake"))
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut output = BufReader::new(child.stdout.take().unwrap());
    output.read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening ").unwrap();
    Process {
        url: format!("http://{address}"),
        child,
    }
}

async fn instance_count(client: &Http) -> usize {
    client.instances().await.unwrap().len()
}

#[actix_web::test]
async fn a_terminated_server_answers_calls_in_flight_and_deregisters() {
    let platform = start(&["platform"]);
    let list = Http::open(&platform.url, TIMEOUT);
    let mut server = start(&[
        "server",
        "--name",
        "s",
        "--pool",
        "p",
        "--domain",
        "d",
        "--kind",
        "service",
        "--platform",
        &platform.url,
        "--work-ms",
        "900",
        "--leave-ms",
        "0",
    ]);
    let deadline = Instant::now() + TIMEOUT;
    while instance_count(&list).await == 0 && Instant::now() < deadline {
        actix_web::rt::time::sleep(Duration::from_millis(10)).await;
    }
    let call = Client::builder()
        .timeout(TIMEOUT)
        .finish()
        .post(format!("{}/v1/call", server.url))
        .insert_header((
            "Limpetstep-Attempt",
            "00000000-0000-4000-8000-000000000000/0/0",
        ))
        .send_json(&json!({"operation": "pay", "input": 1}));
    let pid = server.child.id().to_string();
    let terminate = async {
        actix_web::rt::time::sleep(Duration::from_millis(200)).await;
        Command::new("kill").args(["-TERM", &pid]).status().unwrap()
    };
    let (answer, _) = futures_util::join!(call, terminate);
    assert_that!(answer.unwrap().status().as_u16(), eq(200));
    let exit = thread::spawn(move || server.child.wait().unwrap())
        .join()
        .unwrap();
    assert_that!(exit.code(), some(eq(0)));
    assert_that!(instance_count(&list).await, eq(0));
}
