//! Reading the platform's store.

mod reader;

pub use reader::read;
