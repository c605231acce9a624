//! Guards against a change of a protocol definition without its generated code.

use std::{env, fs, process};

use googletest::prelude::*;

#[gtest]
fn committed_code_is_current() -> Result<()> {
    let out = env::temp_dir().join(format!("wiregen-{}", process::id()));
    fs::create_dir_all(&out)?;
    wiregen::generate(&out)?;
    for (definition, name) in wiregen::DEFINITIONS {
        let generated = fs::read_to_string(out.join(name))?;
        let committed = fs::read_to_string(wiregen::wire_dir().join("src/generated").join(name))?;
        expect_that!(generated == committed, eq(true), "{definition}");
    }
    fs::remove_dir_all(&out)?;
    Ok(())
}
