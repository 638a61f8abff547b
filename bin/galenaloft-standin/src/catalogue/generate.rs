//! Entries that look real, generated from a seed.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::options::CollectionScene;

/// Cloud genera, species and places of observation.
const CLOUDS: [&[&str]; 3] = [
    &[
        "Altocumulus",
        "Altostratus",
        "Cirrocumulus",
        "Cirrostratus",
        "Cirrus",
        "Cumulonimbus",
        "Cumulus",
        "Nimbostratus",
        "Stratocumulus",
        "Stratus",
    ],
    &[
        "lenticularis",
        "castellanus",
        "floccus",
        "undulatus",
        "mammatus",
        "fibratus",
        "congestus",
        "humilis",
        "asperitas",
        "radiatus",
    ],
    &["Zermatt", "Lofoten", "Ulm", "Graz", "Sylt", "Davos", "Brocken", "Tromsø", "Chur", "Aachen"],
];

/// Balloon colours, forms and occasions.
const BALLOONS: [&[&str]; 3] = [
    &[
        "turquoise",
        "crimson",
        "gold",
        "silver",
        "magenta",
        "emerald",
        "ivory",
        "coral",
        "lilac",
        "cobalt",
    ],
    &[
        "heart", "star", "number", "letter", "globe", "unicorn", "arch", "garland", "bouquet",
        "tank",
    ],
    &[
        "quinceañera",
        "wedding",
        "birthday",
        "graduation",
        "baptism",
        "carnival",
        "regatta",
        "anniversary",
        "festival",
        "opening",
    ],
];

/// Greatest relevance of an entry.
const MAX_SCORE: u32 = 1_000;

/// One entry as a searcher holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Unique key.
    pub key: String,
    /// Former firm.
    pub firm: String,
    /// Title.
    pub title: String,
    /// Title in lower case, for matching.
    pub folded: String,
    /// Relevance.
    pub score: u32,
}

/// Generates the documents of a snapshot. Each newer snapshot has a hundredth more of them.
pub fn documents(
    scene: &CollectionScene,
    firms: &[String],
    seed: u64,
    snapshot: u32,
) -> Vec<Document> {
    let words = if scene.theme == "balloons" { BALLOONS } else { CLOUDS };
    let grown = scene.documents + scene.documents / 100 * (snapshot - 1);
    (0..grown).map(|number| document(scene, firms, seed, words, number)).collect()
}

fn document(
    scene: &CollectionScene,
    firms: &[String],
    seed: u64,
    words: [&[&str]; 3],
    number: u32,
) -> Document {
    let mut rng = SmallRng::seed_from_u64(seed ^ (u64::from(number) << 20));
    let picked = words.map(|list| list[rng.random_range(0..list.len())]);
    let title = picked.join(" ");
    Document {
        key: format!("{}-{number:06}", scene.name),
        firm: firms[rng.random_range(0..firms.len())].clone(),
        folded: title.to_lowercase(),
        title,
        score: rng.random_range(1..=MAX_SCORE),
    }
}
