//! Generated message types; see `proto/operator.proto`.

#![allow(missing_docs, clippy::all, clippy::pedantic)]

include!("generated/galenaloft.operator.rs");
include!("generated/galenaloft.operator.serde.rs");
