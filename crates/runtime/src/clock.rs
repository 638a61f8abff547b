//! The present time, read at the edge of each task and passed on as an argument.

use std::time::Instant;

/// Returns the present time of the runtime, which tests may pause.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Waits until `when`.
pub async fn sleep_until(when: Instant) {
    tokio::time::sleep_until(tokio::time::Instant::from_std(when)).await;
}
