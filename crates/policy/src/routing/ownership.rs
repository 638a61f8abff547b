//! Rendezvous hashing of items, such as searchers, over the live entry hosts.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::HostId;

/// Returns the hosts in descending order of their weight for `item`: the owner first, then its
/// standby.
pub fn rank_hosts<'a>(item: &str, hosts: impl IntoIterator<Item = &'a HostId>) -> Vec<&'a HostId> {
    let mut ranked: Vec<&HostId> = hosts.into_iter().collect();
    ranked.sort_by_key(|host| Reverse((weight(item, host), *host)));
    ranked
}

/// Returns the owner of `item`, which is the host with the greatest weight, or `None` if there are
/// no hosts.
pub fn owner_of<'a>(item: &str, hosts: impl IntoIterator<Item = &'a HostId>) -> Option<&'a HostId> {
    hosts.into_iter().max_by_key(|host| (weight(item, host), *host))
}

fn weight(item: &str, host: &HostId) -> u64 {
    let seed = xxh3_64_with_seed(host.as_bytes(), 0);
    xxh3_64_with_seed(item.as_bytes(), seed)
}
