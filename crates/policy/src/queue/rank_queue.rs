//! Queue ordered by rank and deadline, with a guaranteed share of starts (floor) for each rank.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Rank;

/// Factor applied to the recent starts of every rank at each start. Floors are thus enforced over
/// roughly the last 50 starts.
const RECENT_STARTS_DECAY: f64 = 0.98;

/// An item taken from the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Popped<T> {
    /// The item can still finish before its deadline.
    Ready(T),
    /// The item can no longer finish before its deadline and must not be started.
    Expired(T),
}

/// Waiting work of one rank.
#[derive(Debug)]
struct RankState<T> {
    /// Minimum share of starts that the rank gets while it has waiting work, from 0.0 to 1.0.
    floor: f64,
    /// Exponentially decayed count of starts.
    recent_starts: f64,
    /// Items by deadline, then by order of arrival.
    waiting: BTreeMap<(Instant, u64), T>,
}

/// A bounded queue: most urgent rank first, and earliest deadline first within a rank.
///
/// A rank with waiting work whose share of the recent starts is below its floor goes first; of
/// several such ranks, the one furthest below.
#[derive(Debug)]
pub struct RankQueue<T> {
    ranks: BTreeMap<Rank, RankState<T>>,
    arrivals: u64,
    capacity: usize,
}

impl<T> RankQueue<T> {
    /// Creates a queue for at most `capacity` items.
    pub fn new(capacity: usize) -> Self {
        Self { ranks: BTreeMap::new(), arrivals: 0, capacity }
    }

    /// Sets the floor of a rank, a share of all starts from 0.0 to 1.0.
    pub fn set_floor(&mut self, rank: Rank, floor: f64) {
        self.rank_state(rank).floor = floor;
    }

    /// Adds an item. Returns it as an error if the queue is full of items at least as urgent.
    ///
    /// A full queue makes room by evicting the item with the latest deadline of its least urgent
    /// rank, which is returned as `Ok(Some(item))`.
    pub fn push(&mut self, item: T, rank: Rank, deadline: Instant) -> Result<Option<T>, T> {
        let mut evicted = None;
        if self.len() >= self.capacity {
            match self.evict_below(rank) {
                Some(less_urgent) => evicted = Some(less_urgent),
                None => return Err(item),
            }
        }
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.rank_state(rank).waiting.insert((deadline, arrival), item);
        Ok(evicted)
    }

    /// Removes and returns the next item at `now`. An item that cannot finish before its deadline,
    /// given the expected `service_time`, is returned as expired.
    pub fn pop(&mut self, now: Instant, service_time: Duration) -> Option<Popped<T>> {
        let rank = self.next_rank()?;
        let state = self.ranks.get_mut(&rank)?;
        let ((deadline, _), item) = state.waiting.pop_first()?;
        if now + service_time > deadline {
            return Some(Popped::Expired(item));
        }
        state.recent_starts += 1.0;
        for state in self.ranks.values_mut() {
            state.recent_starts *= RECENT_STARTS_DECAY;
        }
        Some(Popped::Ready(item))
    }

    /// Removes and returns every item for which `unwanted` returns true.
    pub fn remove_where(&mut self, unwanted: impl Fn(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for state in self.ranks.values_mut() {
            let keys: Vec<_> =
                state.waiting.iter().filter(|(_, item)| unwanted(item)).map(|(k, _)| *k).collect();
            removed.extend(keys.iter().filter_map(|key| state.waiting.remove(key)));
        }
        removed
    }

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.ranks.values().map(|state| state.waiting.len()).sum()
    }

    /// Returns whether no item is waiting.
    pub fn is_empty(&self) -> bool {
        self.ranks.values().all(|state| state.waiting.is_empty())
    }

    fn rank_state(&mut self, rank: Rank) -> &mut RankState<T> {
        self.ranks.entry(rank).or_insert_with(|| RankState {
            floor: 0.0,
            recent_starts: 0.0,
            waiting: BTreeMap::new(),
        })
    }

    fn next_rank(&self) -> Option<Rank> {
        let total: f64 = self.ranks.values().map(|state| state.recent_starts).sum();
        let waiting = || self.ranks.iter().filter(|(_, state)| !state.waiting.is_empty());
        let furthest_below_floor = waiting()
            .map(|(rank, state)| (state.floor * total - state.recent_starts, *rank))
            .filter(|(deficit, _)| *deficit > 0.0)
            .max_by(|a, b| a.0.total_cmp(&b.0));
        match furthest_below_floor {
            Some((_, rank)) => Some(rank),
            None => waiting().next().map(|(rank, _)| *rank),
        }
    }

    fn evict_below(&mut self, rank: Rank) -> Option<T> {
        let (least_urgent, state) =
            self.ranks.iter_mut().rev().find(|(_, state)| !state.waiting.is_empty())?;
        if *least_urgent <= rank {
            return None;
        }
        state.waiting.pop_last().map(|(_, item)| item)
    }
}
