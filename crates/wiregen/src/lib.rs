//! Generates the code of the wire crate from its protocol definitions, without `protoc`.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use tonic_prost_build as build;

/// The protocol definitions, relative to the wire crate, and the file generated from each.
pub const DEFINITIONS: [(&str, &str); 2] = [
    ("proto/feed.proto", "limpetstep.feed.v1.rs"),
    ("proto/peer.proto", "limpetstep.peer.v1.rs"),
];

/// Returns the directory of the wire crate.
pub fn wire_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire")
}

/// Writes the generated file of each definition into a directory.
///
/// # Errors
///
/// - A definition does not compile.
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
    let root = wire_dir();
    for (definition, file) in DEFINITIONS {
        let files = protox::compile([root.join(definition)], [root.join("proto")])
            .map_err(io::Error::other)?;
        build::configure()
            .out_dir(out)
            .build_transport(false)
            .compile_fds(files)?;
        let path = out.join(file);
        let code = fs::read_to_string(&path)?;
        let header = format!(
            "// Written by `cargo run -p wiregen` from {definition}; change that file instead.\n"
        );
        fs::write(path, format!("{header}{code}"))?;
    }
    Ok(())
}
