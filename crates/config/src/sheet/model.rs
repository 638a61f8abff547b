//! The whole sheet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use galenaloft_policy::ids::KindName;
use galenaloft_policy::ids::Rank;

use crate::reader::ConfigError;
use crate::reader::Field;
use crate::reader::MapReader;
use crate::reader::parse;
use crate::sheet::Kind;

/// Most ranks in a sheet.
const MAX_RANKS: u32 = 9;

/// Life of a ticket when the sheet does not say.
const DEFAULT_TICKET_LIFE: Duration = Duration::from_secs(600);

/// Shortest life of a ticket.
const MIN_TICKET_LIFE: Duration = Duration::from_secs(1);

/// Longest life of a ticket.
const MAX_TICKET_LIFE: Duration = Duration::from_secs(24 * 3600);

/// Room for rounding when floors are added up.
const ROUNDING: f64 = 1e-9;

/// One rank of urgency.
#[derive(Debug, Clone, PartialEq)]
pub struct RankPolicy {
    /// Name in the sheet.
    pub name: Arc<str>,
    /// Share of the slots that the rank keeps in a flood, from 0.0 to 1.0.
    pub floor: f64,
}

/// The sheet in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Sheet {
    /// Customer whose work it describes.
    pub customer: String,
    /// How long a ticket stays valid.
    pub ticket_life: Duration,
    /// Ranks by urgency.
    pub ranks: BTreeMap<Rank, RankPolicy>,
    /// Kinds of work by name.
    pub kinds: BTreeMap<KindName, Kind>,
}

impl Sheet {
    /// Reads and checks a sheet. `file` is used in errors only.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let document = parse(file, text)?;
        let mut top = MapReader::top(file, &document)?;
        let customer = top.required("customer", "the customer's name")?.name()?.to_owned();
        let ticket_life = match top.optional("ticket-life") {
            Some(field) => field.duration(MIN_TICKET_LIFE..=MAX_TICKET_LIFE)?,
            None => DEFAULT_TICKET_LIFE,
        };
        let ranks = read_ranks(&top.required("ranks", "a mapping of at least one rank")?)?;
        let kinds = read_kinds(&top.required("kinds", "a mapping of at least one kind")?, &ranks)?;
        top.finish()?;
        Ok(Self { customer, ticket_life, ranks, kinds })
    }

    /// Returns the kind with this name.
    pub fn kind(&self, name: &str) -> Option<(&KindName, &Kind)> {
        self.kinds.get_key_value(name)
    }
}

fn read_ranks(field: &Field<'_>) -> Result<BTreeMap<Rank, RankPolicy>, ConfigError> {
    let mut ranks = BTreeMap::new();
    let mut whole = 0.0;
    for (name, entry) in field.map()?.rest() {
        let mut map = entry.map()?;
        let order = map.required("order", "the order of urgency, 1 for the most urgent")?;
        let floor = map.required("floor", "the share of slots kept in a flood, such as 10%")?;
        let rank = order.number(1..=MAX_RANKS)? as Rank;
        let share = floor.percent(0..=100)?;
        map.finish()?;
        whole += share;
        if whole > 1.0 + ROUNDING {
            return Err(floor.invalid("floors that add up to at most 100%"));
        }
        let policy = RankPolicy { name: name.into(), floor: share };
        if ranks.insert(rank, policy).is_some() {
            return Err(order.invalid("an order that no other rank has"));
        }
    }
    if ranks.is_empty() {
        return Err(field.invalid("a mapping of at least one rank"));
    }
    Ok(ranks)
}

fn read_kinds(
    field: &Field<'_>,
    ranks: &BTreeMap<Rank, RankPolicy>,
) -> Result<BTreeMap<KindName, Kind>, ConfigError> {
    let mut kinds = BTreeMap::new();
    for (name, entry) in field.map()?.rest() {
        if !crate::reader::is_name(name) {
            return Err(entry.invalid("a kind named by 1 to 64 letters, digits, `-`, `_` or `.`"));
        }
        kinds.insert(name.into(), Kind::read(&entry, ranks)?);
    }
    if kinds.is_empty() {
        return Err(field.invalid("a mapping of at least one kind"));
    }
    Ok(kinds)
}
