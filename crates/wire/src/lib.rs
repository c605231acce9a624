//! Messages between instances, as protocol buffers.
//!
//! The code is generated from the files in `proto` with `cargo run -p wiregen` and checked in.
//!
//! # Examples
//!
//! ```
//! use wire::{Message as _, Want};
//! let want = Want { offset: 7, digest: vec![1; 32] };
//! assert_eq!(Want::decode(want.encode_to_vec().as_slice()).unwrap(), want);
//! ```

#[expect(
    missing_docs,
    clippy::all,
    reason = "generated code"
)]
#[rustfmt::skip]
mod generated {
    include!("generated/limpetstep.peer.v1.rs");
}

#[expect(
    missing_docs,
    clippy::all,
    reason = "generated code"
)]
#[rustfmt::skip]
mod generated_feed {
    include!("generated/limpetstep.feed.v1.rs");
}

/// Messages between instances that forward opaque requests.
pub mod feed {
    pub use super::generated_feed::*;
}

pub use prost::Message;

pub use self::generated::*;
