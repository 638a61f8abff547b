//! What one connection holds, and how fast it makes progress.

use std::time::Duration;
use std::time::Instant;

/// Identifies a connection in one process.
pub type ConnectionId = u64;

/// Time without progress after which a connection gives up its memory when others need it. A caller
/// in the same region sends again after a lost packet within this time.
pub(super) const STALL_TIME: Duration = Duration::from_millis(250);

/// Time that a transfer may take before its rate is looked at when others need its memory.
const RATE_GRACE: Duration = Duration::from_secs(1);

/// Rate below which a transfer gives up its memory when others need it, in bytes per second. The
/// fixed time of 3 s for a body of 256 KiB demanded 87,000.
const PRESSURE_RATE: f64 = 64_000.0;

/// Rate that a body needs at any time, in bytes per second, beyond the time that it has anyway. A
/// body of 256 KiB then takes 16 s longer at most.
const MIN_RATE: f64 = 16_000.0;

/// What a connection is doing with the memory that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// Its request's head arrives.
    Head,
    /// Its request's body arrives.
    Body,
    /// Its response waits for the caller to read.
    Response,
}

/// A connection that gives up its memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Eviction {
    /// The connection.
    pub id: ConnectionId,
    /// What it was doing.
    pub activity: Activity,
}

/// Memory of one connection. In bytes.
#[derive(Debug, Default)]
pub(super) struct Holder {
    pub(super) base: usize,
    pub(super) head: usize,
    pub(super) body: usize,
    pub(super) response: usize,
    /// The transfer in progress, if its memory can be given up.
    pub(super) transfer: Option<Transfer>,
    /// Whether it was told to give up its memory and has not done so yet.
    pub(super) evicted: bool,
}

impl Holder {
    /// Returns what is released when the connection is closed.
    pub(super) fn total(&self) -> usize {
        self.base + self.head + self.body + self.response
    }
}

/// Progress of a transfer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transfer {
    pub(super) activity: Activity,
    pub(super) began: Instant,
    pub(super) last_progress: Instant,
    /// Bytes so far.
    pub(super) bytes: u64,
}

impl Transfer {
    pub(super) fn new(activity: Activity, now: Instant) -> Self {
        Self { activity, began: now, last_progress: now, bytes: 0 }
    }

    pub(super) fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_progress)
    }

    /// Returns whether the transfer stands still.
    pub(super) fn is_stalled(&self, now: Instant) -> bool {
        self.idle(now) >= STALL_TIME
    }

    /// Returns whether the transfer is too slow to keep memory that others need.
    pub(super) fn is_slow(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.began);
        elapsed >= RATE_GRACE && self.rate(now) < PRESSURE_RATE
    }

    pub(super) fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.began).max(Duration::from_millis(1));
        self.bytes as f64 / elapsed.as_secs_f64()
    }
}

/// Returns when a body counts as not arriving: after `timeout` without any byte, and in any case after
/// `timeout` and the time that its bytes may take at the minimum rate.
pub fn body_deadline(
    began: Instant,
    last_progress: Instant,
    received: usize,
    timeout: Duration,
) -> Instant {
    let transfer_time = Duration::from_secs_f64(received as f64 / MIN_RATE);
    (last_progress + timeout).min(began + timeout + transfer_time)
}
