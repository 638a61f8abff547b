//! The report of a load.

mod json;
mod plot;
mod table;

pub use json::write_json;
pub use plot::write_plot;
pub use table::table;
