//! Snapshots, shards and the searchers that hold them.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use galenaloft_control_plane::wire;
use galenaloft_policy::catalogue::key_hash;

use crate::catalogue::Document;
use crate::catalogue::documents;
use crate::options::CollectionScene;
use crate::options::Scene;

/// Snapshots of a collection that are published and held at the same time.
const PUBLISHED_SNAPSHOTS: usize = 2;

/// First port of the searchers, above the platform's.
const SEARCHER_PORTS: u16 = 100;

/// One shard of one snapshot of one collection.
pub type ShardKey = (String, u32, u32);

/// Whether a new snapshot changes the number of shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repartition {
    /// Same shards as before.
    Keep,
    /// Half as many shards again.
    Grow,
}

#[derive(Debug)]
struct Snapshot {
    id: u32,
    shards: u32,
    documents: Vec<Vec<Document>>,
}

#[derive(Debug)]
struct Collection {
    scene: CollectionScene,
    first_searcher: usize,
    snapshots: Vec<Snapshot>,
}

/// All collections, and which searcher holds what.
#[derive(Debug)]
pub struct Catalogue {
    scene: Scene,
    searchers: Vec<wire::Searcher>,
    collections: Vec<Collection>,
}

impl Catalogue {
    /// Generates the first snapshot of every collection.
    pub fn new(scene: &Scene) -> Self {
        let mut searchers = Vec::new();
        let mut collections = Vec::new();
        for collection in &scene.collections {
            let first_searcher = searchers.len();
            for number in 0..collection.searchers {
                searchers.push(searcher(scene, collection, searchers.len(), number));
            }
            let snapshot = snapshot(scene, collection, 1, collection.shards);
            let scene = collection.clone();
            collections.push(Collection { scene, first_searcher, snapshots: vec![snapshot] });
        }
        Self { scene: scene.clone(), searchers, collections }
    }

    /// Returns all searchers.
    pub fn searchers(&self) -> &[wire::Searcher] {
        &self.searchers
    }

    /// Returns the scene of the collection that a searcher serves.
    pub fn scene_of(&self, searcher: usize) -> &CollectionScene {
        let serves = |c: &&Collection| searcher < c.first_searcher + c.scene.searchers as usize;
        let collection = self.collections.iter().find(serves).expect("every searcher serves one");
        &collection.scene
    }

    /// Generates the next snapshot of a collection and drops the oldest one beyond the bound.
    /// Returns its number, or `None` for an unknown collection.
    pub fn advance(&mut self, name: &str, repartition: Repartition) -> Option<u32> {
        let scene = &self.scene;
        let collection = self.collections.iter_mut().find(|c| c.scene.name == name)?;
        let last = collection.snapshots.last()?;
        let shards = match repartition {
            Repartition::Keep => last.shards,
            Repartition::Grow => last.shards + last.shards.div_ceil(2),
        };
        let id = last.id + 1;
        collection.snapshots.push(snapshot(scene, &collection.scene, id, shards));
        if collection.snapshots.len() > PUBLISHED_SNAPSHOTS {
            collection.snapshots.remove(0);
        }
        Some(id)
    }

    /// Returns the layout as it is published.
    pub fn layout(&self) -> wire::Layout {
        let collections = self.collections.iter().map(|c| wire::Collection {
            name: c.scene.name.clone(),
            snapshots: c.snapshots.iter().map(|s| self.publish(c, s)).collect(),
        });
        wire::Layout { searchers: self.searchers.clone(), collections: collections.collect() }
    }

    /// Returns the documents of every shard that a searcher holds.
    pub fn held_by(&self, searcher: usize) -> BTreeMap<ShardKey, Arc<Vec<Document>>> {
        let mut held = BTreeMap::new();
        for collection in &self.collections {
            for snapshot in &collection.snapshots {
                for shard in 0..snapshot.shards {
                    if replicas(collection, shard).any(|replica| replica == searcher) {
                        let key = (collection.scene.name.clone(), snapshot.id, shard);
                        held.insert(key, Arc::new(snapshot.documents[shard as usize].clone()));
                    }
                }
            }
        }
        held
    }

    fn publish(&self, collection: &Collection, snapshot: &Snapshot) -> wire::Snapshot {
        let shards = (0..snapshot.shards).map(|id| {
            let (first_hash, last_hash) = hash_range(id, snapshot.shards);
            let documents = &snapshot.documents[id as usize];
            let replicas = replicas(collection, id).map(|i| self.searchers[i].id.clone());
            wire::Shard {
                id,
                first_hash,
                last_hash,
                documents: documents.len() as u32,
                firms: count_firms(documents),
                replicas: replicas.collect(),
            }
        });
        wire::Snapshot { id: snapshot.id, shards: shards.collect() }
    }
}

fn searcher(
    scene: &Scene,
    collection: &CollectionScene,
    index: usize,
    number: u32,
) -> wire::Searcher {
    let port = scene.port + SEARCHER_PORTS + index as u16;
    wire::Searcher {
        id: format!("{}-{number}", collection.name),
        zone: scene.zones[index % scene.zones.len()].clone(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)).to_string(),
        slots: collection.slots,
        connections: collection.connections,
    }
}

fn snapshot(scene: &Scene, collection: &CollectionScene, id: u32, shards: u32) -> Snapshot {
    let mut by_shard = vec![Vec::new(); shards as usize];
    for document in documents(collection, &scene.firms, scene.seed, id) {
        let shard = shard_of(key_hash(&document.key), shards);
        by_shard[shard as usize].push(document);
    }
    Snapshot { id, shards, documents: by_shard }
}

/// Returns the indices of the searchers that hold a shard.
fn replicas(collection: &Collection, shard: u32) -> impl Iterator<Item = usize> {
    let (first, count) = (collection.first_searcher, collection.scene.searchers);
    let replicas = collection.scene.replicas;
    (0..replicas).map(move |i| first + ((shard * replicas + i) % count) as usize)
}

fn shard_of(hash: u32, shards: u32) -> u32 {
    ((u64::from(hash) * u64::from(shards)) >> 32) as u32
}

/// Returns the lowest and highest hash of a shard.
fn hash_range(shard: u32, shards: u32) -> (u32, u32) {
    let first = |n: u32| (u64::from(n) << 32).div_ceil(u64::from(shards));
    (first(shard) as u32, (first(shard + 1) - 1) as u32)
}

fn count_firms(documents: &[Document]) -> Vec<wire::FirmDocuments> {
    let mut firms: BTreeMap<&str, u32> = BTreeMap::new();
    for document in documents {
        *firms.entry(&document.firm).or_default() += 1;
    }
    let count =
        |(firm, documents): (&str, u32)| wire::FirmDocuments { firm: firm.to_owned(), documents };
    firms.into_iter().map(count).collect()
}
