//! Probes peers and exchanges facts about hosts and the stamps of published values with them.

mod prober;

pub use prober::answer_probe;
pub use prober::probe_directly;
pub use prober::run_prober;
