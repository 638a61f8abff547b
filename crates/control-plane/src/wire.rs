//! Generated message types; see `proto/platform.proto`.

#![allow(missing_docs, clippy::all, clippy::pedantic)]

include!("generated/galenaloft.platform.rs");
include!("generated/galenaloft.platform.serde.rs");
