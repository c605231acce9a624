//! Generates the code of the wire crate from its protocol definition, without `protoc`.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use tonic_prost_build as build;

/// The definition, relative to the wire crate.
const DEFINITION: &str = "proto/peer.proto";

/// The module attributes and line that head the generated file.
const HEADER: &str =
    "// Written by `cargo run -p wiregen` from proto/peer.proto; change that file instead.\n";

/// Returns the directory of the wire crate.
pub fn home() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire")
}

/// Writes `limpetstep.peer.v1.rs` into a directory.
///
/// # Errors
///
/// - The definition does not compile.
/// - The directory cannot be written.
///
/// # Examples
///
/// ```
/// let out = std::env::temp_dir().join(format!("wiregen-doc-{}", std::process::id()));
/// std::fs::create_dir_all(&out).unwrap();
/// wiregen::generate(&out).unwrap();
/// assert!(out.join("limpetstep.peer.v1.rs").exists());
/// std::fs::remove_dir_all(&out).unwrap();
/// ```
pub fn generate(out: &Path) -> io::Result<()> {
    let root = home();
    let files =
        protox::compile([root.join(DEFINITION)], [root.join("proto")]).map_err(io::Error::other)?;
    build::configure()
        .out_dir(out)
        .build_transport(false)
        .compile_fds(files)?;
    let path = out.join("limpetstep.peer.v1.rs");
    let code = fs::read_to_string(&path)?;
    fs::write(path, format!("{HEADER}{code}"))
}
