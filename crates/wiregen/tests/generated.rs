//! The committed code equals what the definition generates.

use std::{env, fs, process};

use googletest::prelude::*;

#[gtest]
fn committed_code_is_current() -> Result<()> {
    let out = env::temp_dir().join(format!("wiregen-{}", process::id()));
    fs::create_dir_all(&out)?;
    wiregen::generate(&out)?;
    let name = "limpetstep.peer.v1.rs";
    let fresh = fs::read_to_string(out.join(name))?;
    fs::remove_dir_all(&out)?;
    let committed = fs::read_to_string(wiregen::home().join("src/generated").join(name))?;
    verify_that!(fresh == committed, eq(true))
}
