//! Probing peers and passing on what is known of hosts and values.

mod prober;

pub use prober::answer_probe;
pub use prober::probe_directly;
pub use prober::run_prober;
