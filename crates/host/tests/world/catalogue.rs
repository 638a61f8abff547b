//! The catalogue of the world: its snapshots and what each shard holds.

use std::collections::BTreeMap;

use galenaloft_control_plane::wire;
use galenaloft_policy::catalogue::key_hash;

/// Searchers 0 to 3 hold the search collection, 4 and 5 the submissions.
pub const SEARCHERS: usize = 6;

/// Documents of the first snapshot; each further one has another.
const DOCUMENTS: u32 = 24;

#[derive(Debug, Clone)]
pub struct Snapshot {
    pub shards: u32,
    pub documents: Vec<String>,
}

#[derive(Debug)]
pub struct Catalogue {
    /// Snapshots that were ever published; the last two are in the layout.
    pub snapshots: BTreeMap<u32, Snapshot>,
}

impl Default for Catalogue {
    fn default() -> Self {
        let mut catalogue = Self { snapshots: BTreeMap::new() };
        catalogue.advance(false);
        catalogue
    }
}

impl Catalogue {
    pub fn advance(&mut self, repartition: bool) {
        let (id, shards) = match self.snapshots.last_key_value() {
            None => (1, 4),
            Some((id, last)) if repartition => (id + 1, if last.shards == 4 { 6 } else { 4 }),
            Some((id, last)) => (id + 1, last.shards),
        };
        let documents = (0..DOCUMENTS + id).map(|n| format!("doc-{n}")).collect();
        self.snapshots.insert(id, Snapshot { shards, documents });
    }

    pub fn is_current(&self, id: u32) -> bool {
        self.snapshots.keys().rev().take(2).any(|current| *current == id)
    }

    pub fn layout(&self) -> wire::Layout {
        let searchers = (0..SEARCHERS).map(|i| wire::Searcher {
            id: searcher_name(i),
            zone: format!("z{}", i % 2),
            address: format!("10.0.1.{}:1", i + 1),
            slots: 2,
            connections: 25,
        });
        let snapshots = self.snapshots.iter().rev().take(2);
        let search = wire::Collection {
            name: "entries".to_owned(),
            snapshots: snapshots.map(|(id, snapshot)| snapshot.publish(*id)).collect(),
        };
        let whole = wire::Shard {
            id: 0,
            first_hash: 0,
            last_hash: u32::MAX,
            documents: 0,
            firms: Vec::new(),
            replicas: vec![searcher_name(4), searcher_name(5)],
        };
        let submit = wire::Collection {
            name: "fees".to_owned(),
            snapshots: vec![wire::Snapshot { id: 1, shards: vec![whole] }],
        };
        wire::Layout { searchers: searchers.collect(), collections: vec![search, submit] }
    }
}

impl Snapshot {
    pub fn shard_documents(&self, shard: u32) -> impl Iterator<Item = &String> {
        self.documents.iter().filter(move |key| shard_of(key, self.shards) == shard)
    }

    pub fn replicas(&self, shard: u32) -> [usize; 2] {
        [(shard as usize) % 4, (shard as usize + 1) % 4]
    }

    fn publish(&self, id: u32) -> wire::Snapshot {
        let shards = (0..self.shards).map(|shard| {
            let documents = self.shard_documents(shard).count() as u32;
            let first = |n: u32| (u64::from(n) << 32).div_ceil(u64::from(self.shards));
            wire::Shard {
                id: shard,
                first_hash: first(shard) as u32,
                last_hash: (first(shard + 1) - 1) as u32,
                documents,
                firms: vec![wire::FirmDocuments { firm: "north".to_owned(), documents }],
                replicas: self.replicas(shard).map(searcher_name).to_vec(),
            }
        });
        wire::Snapshot { id, shards: shards.collect() }
    }
}

pub fn shard_of(key: &str, shards: u32) -> u32 {
    ((u64::from(key_hash(key)) * u64::from(shards)) >> 32) as u32
}

pub fn searcher_name(searcher: usize) -> String {
    format!("s{searcher}")
}
