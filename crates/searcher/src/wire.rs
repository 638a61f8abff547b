//! Generated message types; see `proto/searcher.proto`.

#![allow(missing_docs, clippy::all, clippy::pedantic)]

include!("generated/galenaloft.searcher.rs");
