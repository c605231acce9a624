//! The programs under test, built as needed.

use std::{
    env,
    path::PathBuf,
    process::{Command, Stdio},
    sync::OnceLock,
};

/// The packages whose programs a scene runs.
const PACKAGES: [&str; 4] = ["ctl", "demo", "entry", "fake"];

/// Returns the path of a program, built from the current source.
///
/// # Panics
///
/// Panics if the programs do not build.
///
/// # Examples
///
/// ```no_run
/// assert!(proc::programs::path("limpetstep-fake").exists());
/// ```
pub fn path(name: &str) -> PathBuf {
    // A failed build is not repeated for every test.
    static DIRECTORY: OnceLock<Option<PathBuf>> = OnceLock::new();
    let directory = DIRECTORY.get_or_init(build).as_ref();
    directory.expect("the programs build").join(name)
}

/// Builds the programs, so that no test runs against an outdated one.
fn build() -> Option<PathBuf> {
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--bins"]);
    cargo.args(PACKAGES.iter().flat_map(|package| ["--package", package]));
    if !cfg!(debug_assertions) {
        cargo.arg("--release");
    }
    cargo.current_dir(env!("CARGO_MANIFEST_DIR"));
    let status = cargo.stdout(Stdio::null()).status();
    status.is_ok_and(|status| status.success()).then(directory)
}

/// Returns the directory of the programs, which is the parent of the test program's directory.
fn directory() -> PathBuf {
    let exe = env::current_exe().expect("the path of the test");
    let inside = exe.parent().expect("a directory");
    match inside
        .file_name()
        .is_some_and(|name| name == "deps" || name == "examples")
    {
        true => inside.parent().expect("a directory").to_owned(),
        false => inside.to_owned(),
    }
}
