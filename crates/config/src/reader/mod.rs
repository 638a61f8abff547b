//! Strict reading of YAML mappings with located errors.

mod error;
mod field;
mod map;

pub use error::ConfigError;
pub use field::Field;
pub use field::is_name;
pub use map::MapReader;
pub use map::parse;
pub use map::read_file;
