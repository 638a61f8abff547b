//! The bytes that callers hold in one process, and the decision on further ones.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::memory::Activity;
use crate::memory::ConnectionId;
use crate::memory::Eviction;
use crate::memory::holder::Holder;
use crate::memory::holder::STALL_TIME;
use crate::memory::holder::Transfer;

/// The share of the machine's memory that callers may hold, as a divisor. The rest is for the process
/// itself, for requests to searchers, for the allocator's waste and for the system. A third left
/// `galenaloftd` 1% below a machine of 64 MB.
const CALLERS_DIVISOR: usize = 4;

/// The share of the budget that open connections may hold without their heads and bodies, as a divisor.
const CONNECTIONS_DIVISOR: usize = 2;

/// The share of the budget that large bodies leave free, as a divisor.
const SMALL_SHARE_DIVISOR: usize = 4;

/// Size up to which a body counts as small, in bytes. Usual bodies have a few KB.
const SMALL_BODY: usize = 16 * 1024;

/// What an open connection costs: read and write buffers of 8 KiB each, of which the kernel maps what
/// was used, and the state of its task. In bytes.
const CONNECTION_BYTES: usize = 14 * 1024;

/// What a body that is being read costs beyond its bytes: a further read buffer, which the pieces that
/// were read before keep alive. In bytes.
const BODY_BUFFERS: usize = 16 * 1024;

/// The share of the budget by which evicted connections may exceed it until their tasks have run, as a
/// divisor.
const CLOSING_DIVISOR: usize = 8;

/// The share of the descriptors of a process that callers may have, as a divisor. The others are for
/// searchers, peers, the store and readiness.
const DESCRIPTOR_DIVISOR: usize = 2;

/// Time after which a waiting connection may be closed in favour of a new one.
const WAITING_TIME: Duration = Duration::from_secs(1);

/// Bounds of the time after which a refused caller may come back.
const MIN_RETRY: Duration = Duration::from_millis(50);
const MAX_RETRY: Duration = Duration::from_secs(3);

/// Weight of the newest observation in the mean time that requests hold their bodies.
const HOLD_WEIGHT: f64 = 0.1;

/// Bounds on the bytes that callers hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// All bytes.
    pub total: usize,
    /// Bytes that large bodies leave free.
    pub small_reserve: usize,
}

impl BudgetLimits {
    /// Returns the limits for a machine with so many bytes of memory.
    pub fn from_memory(memory: usize) -> Self {
        let total = memory / CALLERS_DIVISOR;
        Self { total, small_reserve: total / SMALL_SHARE_DIVISOR }
    }

    /// Returns limits that nothing reaches.
    pub fn unlimited() -> Self {
        Self { total: usize::MAX / 4, small_reserve: 0 }
    }
}

/// The answer to a request for memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The bytes are reserved. The connections named give up theirs.
    Granted(Vec<Eviction>),
    /// Nothing is reserved. The bytes will probably be free after the time given.
    Refused(Duration),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Size {
    Small,
    Large,
}

/// Bytes that callers hold in one process.
///
/// The load that it is for: many connections whose callers send heads and bodies of permitted size and
/// stop short of the end, or do not read their responses. While there is room, all are let continue.
/// When there is none, those that stand still give up their memory first, longest first, then those
/// that are slow, slowest first; when all make progress, the newest request is refused. Large bodies
/// leave a part free for small ones.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: BudgetLimits,
    holders: BTreeMap<ConnectionId, Holder>,
    /// All bytes, including those of evicted connections that have not released them yet.
    held: usize,
    /// Bytes of evicted connections that have not released them yet.
    closing: usize,
    /// Bytes of bodies whose requests are in progress; part of `held`.
    in_progress: usize,
    /// Mean time for which requests in progress hold their bodies, in seconds.
    mean_hold: f64,
}

impl MemoryBudget {
    /// Creates a budget that nothing holds.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            holders: BTreeMap::new(),
            held: 0,
            closing: 0,
            in_progress: 0,
            mean_hold: MIN_RETRY.as_secs_f64(),
        }
    }

    /// Returns the bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a connection, which holds its buffers from now on.
    pub fn connect(&mut self, id: ConnectionId, now: Instant) -> Verdict {
        let connections = (self.holders.len() + 1) * CONNECTION_BYTES;
        if connections > self.limits.total / CONNECTIONS_DIVISOR {
            return Verdict::Refused(MIN_RETRY);
        }
        let verdict = self.reserve(id, CONNECTION_BYTES, Size::Small, now);
        if matches!(verdict, Verdict::Granted(_)) {
            self.holders.insert(id, Holder { base: CONNECTION_BYTES, ..Holder::default() });
        }
        verdict
    }

    /// Removes a connection and releases what it holds.
    pub fn disconnect(&mut self, id: ConnectionId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held -= holder.total();
            if holder.evicted {
                self.closing -= holder.total();
            }
        }
    }

    /// Sets the bytes that a head beyond the usual size takes.
    pub fn grow_head(&mut self, id: ConnectionId, bytes: usize, now: Instant) -> Verdict {
        let Some(holder) = self.holders.get(&id).filter(|holder| !holder.evicted) else {
            return Verdict::Refused(MIN_RETRY);
        };
        let verdict = self.reserve(id, bytes.saturating_sub(holder.head), Size::Large, now);
        if let (Verdict::Granted(_), Some(holder)) = (&verdict, self.holders.get_mut(&id)) {
            holder.head = holder.head.max(bytes);
            let transfer = holder.transfer.get_or_insert(Transfer::new(Activity::Head, now));
            transfer.last_progress = now;
            transfer.bytes = bytes as u64;
        }
        verdict
    }

    /// Records that a head arrived whole. Its bytes stay reserved until [`end_head`](Self::end_head).
    pub fn finish_head(&mut self, id: ConnectionId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.transfer = None;
        }
    }

    /// Releases the bytes of a head.
    pub fn end_head(&mut self, id: ConnectionId) {
        self.release(id, |holder| std::mem::take(&mut holder.head));
    }

    /// Reserves `bytes` in all for a body, of which `received` have arrived, and its read buffer.
    pub fn grow_body(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        received: usize,
        now: Instant,
    ) -> Verdict {
        let Some(holder) = self.holders.get(&id).filter(|holder| !holder.evicted) else {
            return Verdict::Refused(MIN_RETRY);
        };
        let size = if bytes <= SMALL_BODY { Size::Small } else { Size::Large };
        let bytes = bytes + BODY_BUFFERS;
        let verdict = self.reserve(id, bytes.saturating_sub(holder.body), size, now);
        if let (Verdict::Granted(_), Some(holder)) = (&verdict, self.holders.get_mut(&id)) {
            holder.body = holder.body.max(bytes);
            let transfer = holder.transfer.get_or_insert(Transfer::new(Activity::Body, now));
            transfer.last_progress = now;
            transfer.bytes = received as u64;
        }
        verdict
    }

    /// Returns whether a body of the declared length may begin to arrive. Reserves nothing: a length
    /// that is only declared takes no memory.
    pub fn admits_body(
        &mut self,
        id: ConnectionId,
        declared: usize,
        now: Instant,
    ) -> Result<(), Duration> {
        let size = if declared <= SMALL_BODY { Size::Small } else { Size::Large };
        self.find_room(id, declared, size, now).map(drop)
    }

    /// Records that bytes of a transfer arrived, or were read by the caller.
    pub fn record_progress(&mut self, id: ConnectionId, bytes: usize, now: Instant) {
        let transfer = self.holders.get_mut(&id).and_then(|holder| holder.transfer.as_mut());
        if let Some(transfer) = transfer {
            transfer.last_progress = now;
            transfer.bytes = bytes as u64;
        }
    }

    /// Records that a body arrived whole and needs `bytes`. They stay reserved until
    /// [`release_in_progress`](Self::release_in_progress). Returns `false`, and releases them, if the
    /// connection was evicted before.
    pub fn finish_body(&mut self, id: ConnectionId, bytes: usize) -> bool {
        let evicted = self.holders.get(&id).is_none_or(|holder| holder.evicted);
        self.end_body(id);
        if evicted {
            return false;
        }
        self.held += bytes;
        self.in_progress += bytes;
        true
    }

    /// Releases the bytes of a body that does not arrive whole.
    pub fn end_body(&mut self, id: ConnectionId) {
        self.release(id, |holder| {
            holder.transfer = None;
            std::mem::take(&mut holder.body)
        });
    }

    /// Releases the bytes of a body whose request was in progress for `held_for`.
    pub fn release_in_progress(&mut self, bytes: usize, held_for: Duration) {
        self.held -= bytes;
        self.in_progress -= bytes;
        self.mean_hold += HOLD_WEIGHT * (held_for.as_secs_f64() - self.mean_hold);
    }

    /// Records that the caller does not read its response, which holds `bytes`. They are in use
    /// already, so others give up theirs, or this connection does.
    pub fn stall_response(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Instant,
    ) -> Vec<Eviction> {
        let Some(holder) = self.holders.get_mut(&id).filter(|holder| !holder.evicted) else {
            return Vec::new();
        };
        holder.response = bytes;
        holder.transfer = Some(Transfer::new(Activity::Response, now));
        self.held += bytes;
        let mut excess = (self.held - self.closing).saturating_sub(self.limits.total);
        let mut evictions = Vec::new();
        for (candidate, size) in self.candidates(now, |_| true) {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(size);
            evictions.extend(self.evict(candidate));
        }
        evictions
    }

    /// Records that the caller has read its response.
    pub fn end_response(&mut self, id: ConnectionId) {
        self.release(id, |holder| {
            holder.transfer = None;
            std::mem::take(&mut holder.response)
        });
    }

    fn release(&mut self, id: ConnectionId, take: impl FnOnce(&mut Holder) -> usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let bytes = take(holder);
            self.held -= bytes;
            if holder.evicted {
                self.closing -= bytes;
            }
        }
    }

    /// Reserves bytes for a connection.
    fn reserve(&mut self, id: ConnectionId, bytes: usize, size: Size, now: Instant) -> Verdict {
        match self.find_room(id, bytes, size, now) {
            Ok(victims) => {
                self.held += bytes;
                Verdict::Granted(victims.into_iter().filter_map(|id| self.evict(id)).collect())
            }
            Err(retry_after) => Verdict::Refused(retry_after),
        }
    }

    /// Returns the connections that have to give up their memory for so many further bytes, or how
    /// long it will probably take until there is room.
    fn find_room(
        &self,
        id: ConnectionId,
        bytes: usize,
        size: Size,
        now: Instant,
    ) -> Result<Vec<ConnectionId>, Duration> {
        let bound = match size {
            Size::Small => self.limits.total,
            Size::Large => self.limits.total - self.limits.small_reserve,
        };
        let staying = self.held - self.closing;
        let mut excess = (staying + bytes).saturating_sub(bound);
        let closing_bound = self.limits.total / CLOSING_DIVISOR;
        if excess == 0 && self.closing <= closing_bound {
            return Ok(Vec::new());
        }
        // A single request is served whatever its size.
        if size == Size::Large && self.holds_nothing_else(id) {
            return Ok(Vec::new());
        }
        if self.held + bytes > self.limits.total + closing_bound {
            return Err(MIN_RETRY);
        }
        let mut victims = Vec::new();
        let may_evict = |transfer: &Transfer| transfer.is_stalled(now) || transfer.is_slow(now);
        for (candidate, size) in self.candidates(now, may_evict) {
            if excess == 0 {
                break;
            }
            if candidate != id {
                excess = excess.saturating_sub(size);
                victims.push(candidate);
            }
        }
        if excess == 0 { Ok(victims) } else { Err(self.retry_after(excess, now)) }
    }

    /// Returns whether no other connection holds a transfer and no request holds a body.
    fn holds_nothing_else(&self, id: ConnectionId) -> bool {
        let others = self.holders.iter().filter(|(other, _)| **other != id);
        self.in_progress == 0 && others.into_iter().all(|(_, holder)| holder.transfer.is_none())
    }

    /// Returns the connections that may give up their memory and how much each holds, in order.
    fn candidates(
        &self,
        now: Instant,
        may_evict: impl Fn(&Transfer) -> bool,
    ) -> Vec<(ConnectionId, usize)> {
        let mut candidates = Vec::new();
        for (id, holder) in &self.holders {
            let transfer = holder.transfer.filter(|_| !holder.evicted);
            if let Some(transfer) = transfer.filter(|transfer| may_evict(transfer)) {
                let idle =
                    if transfer.is_stalled(now) { transfer.idle(now) } else { Duration::ZERO };
                candidates.push((Reverse(idle), transfer.rate(now), *id, holder.total()));
            }
        }
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        candidates.into_iter().map(|(_, _, id, size)| (id, size)).collect()
    }

    fn evict(&mut self, id: ConnectionId) -> Option<Eviction> {
        let holder = self.holders.get_mut(&id)?;
        let activity = holder.transfer?.activity;
        holder.evicted = true;
        self.closing += holder.total();
        Some(Eviction { id, activity })
    }

    /// Returns when so many bytes will probably be free: transfers end or count as stalled within the
    /// stall time, and requests in progress hold their bodies as long as others did.
    fn retry_after(&self, excess: usize, now: Instant) -> Duration {
        let mut waits: Vec<(Duration, usize)> = Vec::new();
        for holder in self.holders.values() {
            if let Some(transfer) = holder.transfer {
                waits.push((STALL_TIME.saturating_sub(transfer.idle(now)), holder.total()));
            }
        }
        waits.push((Duration::from_secs_f64(self.mean_hold), self.in_progress));
        waits.sort_unstable();
        let mut free = 0;
        for (wait, bytes) in waits {
            free += bytes;
            if free >= excess {
                return wait.clamp(MIN_RETRY, MAX_RETRY);
            }
        }
        MAX_RETRY
    }
}

/// Returns how many connections callers may have of a process with so many descriptors.
pub fn caller_connections(descriptors: usize) -> usize {
    descriptors / DESCRIPTOR_DIVISOR
}

/// Returns the connection to close in favour of a new one: the one that has waited longest for its
/// next request, if it has waited for some time.
pub fn longest_waiting(
    waiting: impl IntoIterator<Item = (ConnectionId, Duration)>,
) -> Option<ConnectionId> {
    let longest = waiting.into_iter().max_by_key(|(_, time)| *time);
    longest.filter(|(_, time)| *time >= WAITING_TIME).map(|(id, _)| id)
}
