//! The committed code equals what the definition generates.

use std::{env, fs, process};

use googletest::prelude::*;

#[gtest]
fn committed_code_is_current() -> Result<()> {
    let out = env::temp_dir().join(format!("wiregen-{}", process::id()));
    fs::create_dir_all(&out)?;
    wiregen::generate(&out)?;
    for (definition, name) in wiregen::DEFINITIONS {
        let fresh = fs::read_to_string(out.join(name))?;
        let committed = fs::read_to_string(wiregen::home().join("src/generated").join(name))?;
        expect_that!(fresh == committed, eq(true), "{definition}");
    }
    fs::remove_dir_all(&out)?;
    Ok(())
}
