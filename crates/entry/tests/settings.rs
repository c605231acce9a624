//! Settings: the precedence of flags, the report of all faults at once, and the documentation page.

use argh::FromArgs as _;
use entry::settings::{Flags, Settings};
use googletest::prelude::*;

const SETTINGS_PAGE: &str = include_str!("../../../docs/SETTINGS.md");
const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn valid() -> Flags {
    Flags {
        platform: Some("http://127.0.0.1:9000".into()),
        root_keys: Some(KEY.into()),
        ..Flags::default()
    }
}

fn help() -> String {
    let Err(exit) = Flags::from_args(&["limpetstep-entry"], &["--help"]) else {
        panic!("--help must exit with the help text");
    };
    exit.output
}

#[gtest]
fn flags_override_variables() {
    let flags = Flags {
        poll_ms: Some("70".into()),
        ..valid()
    };
    let variable = |name: &str| match name {
        "LIMPETSTEP_DRAIN_MS" => Some("90".to_owned()),
        "LIMPETSTEP_POLL_MS" => Some("80".to_owned()),
        _ => None,
    };
    let settings = Settings::check(&flags, variable).expect("valid");
    expect_that!(settings.poll.as_millis(), eq(70));
    expect_that!(settings.drain.as_millis(), eq(90));
}

#[gtest]
fn all_faults_are_reported_at_once() {
    let flags = Flags {
        address: Some("nowhere".into()),
        log_level: Some("loud".into()),
        poll_ms: Some("9".into()),
        root_keys: Some("short".into()),
        ..Flags::default()
    };
    let faults = Settings::check(&flags, |_| None).expect_err("faulty");
    let names: Vec<_> = faults.iter().map(|fault| fault.setting).collect();
    expect_that!(
        names,
        elements_are![
            eq(&"address"),
            eq(&"log-level"),
            eq(&"platform"),
            eq(&"poll-ms"),
            eq(&"root-keys")
        ]
    );
    for fault in &faults {
        expect_that!(fault.allowed, not(eq("")));
    }
}

#[gtest]
fn settings_page_lists_every_flag() {
    let help = help();
    let flags: Vec<_> = help
        .lines()
        .filter_map(|line| line.trim().strip_prefix("--")?.split([' ', ',']).next())
        .filter(|flag| *flag != "help")
        .collect();
    expect_that!(flags.len(), gt(10));
    for flag in flags {
        let variable = format!("LIMPETSTEP_{}", flag.to_uppercase().replace('-', "_"));
        let row = SETTINGS_PAGE.lines().any(|line| {
            line.contains(&format!("`--{flag}`")) && (flag == "check" || line.contains(&variable))
        });
        expect_that!(row, eq(true), "no row for --{flag} and {variable}");
    }
}
