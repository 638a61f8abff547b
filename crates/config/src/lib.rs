//! Checked YAML settings: the operators' sheet and the settings of each process.
//!
//! Every field is checked for name, type, unit and range. An error names the file, the line, the
//! field, its value and what would be right.

mod bounds;
pub mod edge;
pub mod reader;
pub mod settings;
pub mod sheet;
