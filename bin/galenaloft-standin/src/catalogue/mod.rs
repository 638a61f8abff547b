//! The catalogue that the searchers hold, generated from a seed.

mod generate;
mod layout;

pub use generate::Document;
pub use generate::documents;
pub use layout::Catalogue;
pub use layout::Repartition;
pub use layout::ShardKey;
