//! Runs the demo program.

use core::time::Duration;

use googletest::prelude::*;
use proc::process::Process;

const TIMEOUT: Duration = Duration::from_secs(60);

#[gtest]
#[actix_web::test]
async fn every_answer_of_the_demo_is_what_it_should_be() {
    let mut demo = Process::spawn("demo", &[]);
    let end = demo.wait(TIMEOUT).await;
    let printed = demo.lines().join("\n");
    expect_that!(end.and_then(|end| end.code()), some(eq(0)), "{printed}");
    let counted = "runs of 'release' counted by commission-ledger: 1";
    expect_that!(printed, contains_substring(counted));
}
