//! Generated message types; see `proto/caller.proto`.

#![allow(missing_docs, clippy::all, clippy::pedantic)]

include!("generated/galenaloft.caller.rs");
include!("generated/galenaloft.caller.serde.rs");
