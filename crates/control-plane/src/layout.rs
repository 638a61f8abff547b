//! Parsing and validation of a published layout.

use std::collections::BTreeMap;

use galenaloft_policy::catalogue::CollectionLayout;
use galenaloft_policy::catalogue::Layout;
use galenaloft_policy::catalogue::SearcherSpec;
use galenaloft_policy::catalogue::ShardSpec;
use galenaloft_policy::catalogue::SnapshotSpec;
use galenaloft_policy::ids::SearcherId;

use crate::wire;

/// Most connections of a searcher, and so most slots, each of which is a task of its owner.
const MAX_CONNECTIONS: u32 = 4_096;

/// Parses and validates a layout. The error is one sentence.
pub fn parse_layout(text: &str) -> Result<Layout, String> {
    let layout: wire::Layout = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let mut searchers = BTreeMap::new();
    for searcher in layout.searchers {
        let spec = parse_searcher(searcher)?;
        if let Some(duplicate) = searchers.insert(spec.id.clone(), spec) {
            return Err(format!("searcher `{}` is listed twice", duplicate.id));
        }
    }
    let mut collections = BTreeMap::new();
    for collection in layout.collections {
        let name = collection.name.clone();
        let spec = parse_collection(collection, &searchers)?;
        if collections.insert(name.as_str().into(), spec).is_some() {
            return Err(format!("collection `{name}` is listed twice"));
        }
    }
    Ok(Layout { searchers, collections })
}

fn parse_searcher(searcher: wire::Searcher) -> Result<SearcherSpec, String> {
    let wire::Searcher { id, zone, address, slots, connections } = searcher;
    if id.is_empty() || zone.is_empty() {
        return Err(format!("searcher `{id}` in zone `{zone}` has an empty id or zone"));
    }
    if slots == 0 || connections < slots {
        return Err(format!(
            "searcher `{id}` has {slots} slots and {connections} connections, but needs \
             at least one slot and one connection per slot"
        ));
    }
    if connections > MAX_CONNECTIONS {
        return Err(format!(
            "searcher `{id}` has {connections} connections, but at most {MAX_CONNECTIONS} \
             connections are allowed"
        ));
    }
    let address = address.parse().map_err(|_| {
        format!("address `{address}` of searcher `{id}` is not an IP address and port")
    })?;
    Ok(SearcherSpec { id: id.into(), zone: zone.into(), address, slots, connections })
}

fn parse_collection(
    collection: wire::Collection,
    searchers: &BTreeMap<SearcherId, SearcherSpec>,
) -> Result<CollectionLayout, String> {
    let name = collection.name;
    let mut snapshots = BTreeMap::new();
    for snapshot in collection.snapshots {
        let id = snapshot.id;
        let spec = parse_snapshot(snapshot, searchers)
            .map_err(|why| format!("collection `{name}`, snapshot {id}: {why}"))?;
        if snapshots.insert(id, spec).is_some() {
            return Err(format!("collection `{name}` lists snapshot {id} twice"));
        }
    }
    Ok(CollectionLayout { snapshots })
}

fn parse_snapshot(
    snapshot: wire::Snapshot,
    searchers: &BTreeMap<SearcherId, SearcherSpec>,
) -> Result<SnapshotSpec, String> {
    let mut shards = Vec::with_capacity(snapshot.shards.len());
    for shard in snapshot.shards {
        shards.push(parse_shard(shard, searchers)?);
    }
    shards.sort_by_key(|shard| shard.first_hash);
    check_hash_coverage(&shards)?;
    let mut ids: Vec<_> = shards.iter().map(|shard| shard.id).collect();
    ids.sort_unstable();
    if let Some(duplicate) = ids.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(format!("shard {} is listed twice", duplicate[0]));
    }
    let documents = shards.iter().map(|shard| u64::from(shard.documents)).sum::<u64>();
    if documents > u64::from(u32::MAX) {
        return Err(format!(
            "snapshot has {documents} documents, but at most 4294967295 are allowed"
        ));
    }
    Ok(SnapshotSpec { shards })
}

fn parse_shard(
    shard: wire::Shard,
    searchers: &BTreeMap<SearcherId, SearcherSpec>,
) -> Result<ShardSpec, String> {
    let id = shard.id;
    let mut firms = BTreeMap::new();
    for firm in shard.firms {
        let documents = firms.entry(firm.firm.into()).or_insert(0_u32);
        *documents = documents.saturating_add(firm.documents);
    }
    let firm_documents: u64 = firms.values().map(|documents| u64::from(*documents)).sum();
    if firm_documents != u64::from(shard.documents) {
        let documents = shard.documents;
        return Err(format!(
            "shard {id} has {documents} documents, its firms have {firm_documents}"
        ));
    }
    let mut replicas: Vec<SearcherId> = Vec::new();
    for replica in shard.replicas {
        let Some((searcher, _)) = searchers.get_key_value(replica.as_str()) else {
            return Err(format!("shard {id} names the unknown searcher `{replica}`"));
        };
        replicas.push(searcher.clone());
    }
    Ok(ShardSpec {
        id,
        first_hash: shard.first_hash,
        last_hash: shard.last_hash,
        documents: shard.documents,
        firms,
        replicas,
    })
}

/// Checks that the shards, sorted by first hash, cover every key hash exactly once.
fn check_hash_coverage(shards: &[ShardSpec]) -> Result<(), String> {
    let mut expected_first = Some(0_u32);
    for shard in shards {
        if expected_first != Some(shard.first_hash) || shard.last_hash < shard.first_hash {
            let (id, first) = (shard.id, shard.first_hash);
            return Err(format!(
                "shard {id} starts at hash {first}, which leaves a gap or overlap"
            ));
        }
        expected_first = shard.last_hash.checked_add(1);
    }
    match expected_first {
        None => Ok(()),
        Some(hash) => Err(format!("no shard covers hash {hash}")),
    }
}
