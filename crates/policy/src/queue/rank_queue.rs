//! Waiting work in order of rank and deadline, with a floor for each rank.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Rank;

/// Share of the past that each start keeps when served work is counted.
const SERVED_DECAY: f64 = 0.98;

/// The next item of a queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Popped<T> {
    /// Can still finish in time.
    Ready(T),
    /// Can no longer finish in time and must not be started.
    Expired(T),
}

/// Waiting work of one rank.
#[derive(Debug)]
struct Lane<T> {
    /// Share of all starts that the rank keeps while it has work, from 0.0 to 1.0.
    floor: f64,
    /// Recent starts, decayed.
    served: f64,
    /// Items by deadline, then by arrival.
    waiting: BTreeMap<(Instant, u64), T>,
}

/// A bounded queue: the most urgent rank first, within a rank the earliest deadline first.
///
/// A rank that has waiting work and got less than its floor of the recent starts goes first.
#[derive(Debug)]
pub struct RankQueue<T> {
    lanes: BTreeMap<Rank, Lane<T>>,
    arrivals: u64,
    capacity: usize,
}

impl<T> RankQueue<T> {
    /// Creates a queue for at most `capacity` items.
    pub fn new(capacity: usize) -> Self {
        Self { lanes: BTreeMap::new(), arrivals: 0, capacity }
    }

    /// Sets the floor of a rank, a share of all starts from 0.0 to 1.0.
    pub fn set_floor(&mut self, rank: Rank, floor: f64) {
        self.lane(rank).floor = floor;
    }

    /// Adds an item, or returns it when the queue is full of work at least as urgent.
    ///
    /// A full queue makes room by giving up the latest deadline of its least urgent rank, which
    /// comes back as `Ok(Some(item))`.
    pub fn push(&mut self, item: T, rank: Rank, deadline: Instant) -> Result<Option<T>, T> {
        let mut evicted = None;
        if self.len() >= self.capacity {
            match self.evict_below(rank) {
                Some(other) => evicted = Some(other),
                None => return Err(item),
            }
        }
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.lane(rank).waiting.insert((deadline, arrival), item);
        Ok(evicted)
    }

    /// Takes the next item to start at `now`, where a start takes about `service` to finish.
    pub fn pop(&mut self, now: Instant, service: Duration) -> Option<Popped<T>> {
        let rank = self.next_rank()?;
        let lane = self.lanes.get_mut(&rank)?;
        let ((deadline, _), item) = lane.waiting.pop_first()?;
        if now + service > deadline {
            return Some(Popped::Expired(item));
        }
        lane.served += 1.0;
        for lane in self.lanes.values_mut() {
            lane.served *= SERVED_DECAY;
        }
        Some(Popped::Ready(item))
    }

    /// Takes every item for which `unwanted` holds.
    pub fn remove_where(&mut self, unwanted: impl Fn(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for lane in self.lanes.values_mut() {
            let keys: Vec<_> =
                lane.waiting.iter().filter(|(_, item)| unwanted(item)).map(|(k, _)| *k).collect();
            removed.extend(keys.iter().filter_map(|key| lane.waiting.remove(key)));
        }
        removed
    }

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.lanes.values().map(|lane| lane.waiting.len()).sum()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(|lane| lane.waiting.is_empty())
    }

    fn lane(&mut self, rank: Rank) -> &mut Lane<T> {
        self.lanes.entry(rank).or_insert_with(|| Lane {
            floor: 0.0,
            served: 0.0,
            waiting: BTreeMap::new(),
        })
    }

    fn next_rank(&self) -> Option<Rank> {
        let total: f64 = self.lanes.values().map(|lane| lane.served).sum();
        let waiting = || self.lanes.iter().filter(|(_, lane)| !lane.waiting.is_empty());
        let deprived = waiting()
            .map(|(rank, lane)| (lane.floor * total - lane.served, *rank))
            .filter(|(deficit, _)| *deficit > 0.0)
            .max_by(|a, b| a.0.total_cmp(&b.0));
        match deprived {
            Some((_, rank)) => Some(rank),
            None => waiting().next().map(|(rank, _)| *rank),
        }
    }

    fn evict_below(&mut self, rank: Rank) -> Option<T> {
        let (worst, lane) =
            self.lanes.iter_mut().rev().find(|(_, lane)| !lane.waiting.is_empty())?;
        if *worst <= rank {
            return None;
        }
        lane.waiting.pop_last().map(|(_, item)| item)
    }
}
