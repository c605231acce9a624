//! Signed requests to the administration interface.

use std::{env, fs};

use argh::FromArgs as _;
use bundle::sign::Key;
use ctl::{
    cli::{Args, Settings, run},
    request::Credential,
};
use googletest::prelude::*;

#[gtest]
#[actix_web::test]
async fn a_signature_is_valid_only_for_its_method_path_and_body() {
    let folder = env::temp_dir().join(format!("limpetstep-request-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let file = |name: &str| folder.join(name).display().to_string();
    fs::write(file("key"), Key::example("author").secret()).unwrap();
    fs::write(file("body"), "{}").unwrap();
    let (key, body) = (file("key"), file("body"));
    let args = [
        "--key",
        &key,
        "request",
        "POST",
        "/admin/v1/check",
        "--body",
        &body,
    ];
    let args = Args::from_args(&["ctl"], &args).unwrap();
    let settings = Settings::read(&args, &|_| None).unwrap();
    let printed = run(&args, &settings).await.unwrap();
    fs::remove_dir_all(&folder).unwrap();
    let header = printed.strip_prefix("Authorization: ").unwrap();
    let credential = Credential::parse(header).unwrap();
    expect_that!(credential.key, eq(Key::example("author").public()));
    for (is_valid, method, target, body) in [
        (true, "POST", "/admin/v1/check", "{}"),
        (false, "GET", "/admin/v1/check", "{}"),
        (false, "POST", "/admin/v1/diff", "{}"),
        (false, "POST", "/admin/v1/check", ""),
    ] {
        let verified = credential.verifies(method, target, body.as_bytes());
        expect_that!(verified, eq(is_valid), "{method} {target} {body}");
    }
    let more = format!("{header},more=1");
    expect_that!(Credential::parse(&more), none());
    expect_that!(Credential::parse(&header.replace("at=", "at=x")), none());
}
