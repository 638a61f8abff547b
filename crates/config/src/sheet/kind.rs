//! One kind of work.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use galenaloft_policy::attempt::Operation;
use galenaloft_policy::catalogue::Spread;
use galenaloft_policy::ids::CollectionName;
use galenaloft_policy::ids::Rank;

use crate::reader::ConfigError;
use crate::reader::Field;
use crate::reader::MapReader;
use crate::sheet::RankPolicy;

/// Shortest deadline of a kind.
const MIN_DEADLINE: Duration = Duration::from_millis(5);

/// Longest deadline of a kind.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Greatest worth of one request.
const MAX_WORTH: u32 = 1_000_000;

/// Most requests that a kind may have to finish in a day.
const MAX_REQUESTS: u32 = 1_000_000_000;

/// Extra load by hedges when the sheet does not say, as a share of first attempts.
const DEFAULT_EXTRA_LOAD: f64 = 0.05;

/// Retries when the sheet does not say, as a share of first attempts.
const DEFAULT_RETRIES: f64 = 0.10;

/// What to do when some shards are slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stragglers {
    /// Wait for every shard until the deadline.
    Wait,
    /// Answer once the coverage floor is met and the other shards are late.
    AnswerEarly,
}

/// A time of day in UTC, in minutes after midnight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeOfDay(pub u16);

impl fmt::Display for TimeOfDay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:02}:{:02}", self.0 / 60, self.0 % 60)
    }
}

/// What one kind of work is and must achieve.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// What a request does.
    pub operation: Operation,
    /// Collection that it reads or writes.
    pub collection: CollectionName,
    /// Urgency; 1 goes first.
    pub rank: Rank,
    /// Worth of one answered request, relative to other kinds.
    pub worth: u32,
    /// Time from arrival to answer.
    pub deadline: Duration,
    /// Least share of the documents that makes an answer useful, from 0.0 to 1.0.
    pub coverage_floor: f64,
    /// What to do when some shards are slow.
    pub stragglers: Stragglers,
    /// How places are shared among former firms.
    pub spread: Spread,
    /// Hedges per first attempt, from 0.0 to 1.0.
    pub extra_load: f64,
    /// Retries per first attempt, from 0.0 to 1.0.
    pub retries: f64,
    /// When the day's requests must be finished.
    pub finish_by: Option<TimeOfDay>,
    /// How many requests must be finished by then.
    pub requests: Option<u32>,
}

impl Kind {
    pub(crate) fn read(
        field: &Field<'_>,
        ranks: &BTreeMap<Rank, RankPolicy>,
    ) -> Result<Self, ConfigError> {
        let mut map = field.map()?;
        let operation =
            map.required("operation", "one of search, fetch, file, reserve")?.choice(&[
                ("search", Operation::Search),
                ("fetch", Operation::Fetch),
                ("file", Operation::Submit),
                ("reserve", Operation::Submit),
            ])?;
        let collection = map.required("collection", "the collection's name")?.name()?.into();
        let rank = read_rank(&map.required("rank", "the name of one of the ranks")?, ranks)?;
        let worth = map.required("worth", "the worth of one request")?.number(1..=MAX_WORTH)?;
        let deadline = map
            .required("deadline", "the time to an answer, such as 280ms")?
            .duration(MIN_DEADLINE..=MAX_DEADLINE)?;
        let kind = Self {
            operation,
            collection,
            rank,
            worth,
            deadline,
            coverage_floor: read_coverage_floor(&mut map, operation)?,
            stragglers: read_stragglers(&mut map, operation)?,
            spread: read_spread(&mut map, operation)?,
            extra_load: read_extra_load(&mut map, operation)?,
            retries: read_share(&mut map, "retries", DEFAULT_RETRIES)?,
            finish_by: read_finish_by(&mut map)?,
            requests: read_requests(&mut map)?,
        };
        if kind.finish_by.is_some() != kind.requests.is_some() {
            return Err(field.invalid("both `finish-by` and `requests`, or neither"));
        }
        map.finish()?;
        Ok(kind)
    }
}

fn read_rank(field: &Field<'_>, ranks: &BTreeMap<Rank, RankPolicy>) -> Result<Rank, ConfigError> {
    let choices: Vec<(&str, Rank)> = ranks.iter().map(|(r, p)| (&*p.name, *r)).collect();
    field.choice(&choices)
}

fn read_coverage_floor(map: &mut MapReader<'_>, operation: Operation) -> Result<f64, ConfigError> {
    match operation {
        Operation::Search => map
            .required("coverage-floor", "the least useful share of the catalogue, such as 98%")?
            .percent(0..=100),
        Operation::Fetch | Operation::Submit => Ok(1.0),
    }
}

fn read_stragglers(
    map: &mut MapReader<'_>,
    operation: Operation,
) -> Result<Stragglers, ConfigError> {
    let choices = [("wait", Stragglers::Wait), ("answer-early", Stragglers::AnswerEarly)];
    match search_only(map, "stragglers", operation) {
        Some(field) => field.choice(&choices),
        None => Ok(Stragglers::Wait),
    }
}

fn read_spread(map: &mut MapReader<'_>, operation: Operation) -> Result<Spread, ConfigError> {
    let choices = [("none", Spread::None), ("former-firm", Spread::FormerFirm)];
    match search_only(map, "spread", operation) {
        Some(field) => field.choice(&choices),
        None => Ok(Spread::None),
    }
}

/// Takes a field that only a search may have; on other kinds it stays and is refused as unknown.
fn search_only<'a>(map: &mut MapReader<'a>, name: &str, operation: Operation) -> Option<Field<'a>> {
    match operation {
        Operation::Search => map.optional(name),
        Operation::Fetch | Operation::Submit => None,
    }
}

fn read_extra_load(map: &mut MapReader<'_>, operation: Operation) -> Result<f64, ConfigError> {
    if operation.is_idempotent() {
        return read_share(map, "extra-load", DEFAULT_EXTRA_LOAD);
    }
    match map.optional("extra-load") {
        Some(field) => field.percent(0..=0),
        None => Ok(0.0),
    }
}

fn read_share(map: &mut MapReader<'_>, name: &str, default: f64) -> Result<f64, ConfigError> {
    match map.optional(name) {
        Some(field) => field.percent(0..=100),
        None => Ok(default),
    }
}

fn read_finish_by(map: &mut MapReader<'_>) -> Result<Option<TimeOfDay>, ConfigError> {
    let Some(field) = map.optional("finish-by") else {
        return Ok(None);
    };
    let time = parse_time(field.text()?);
    time.map(Some).ok_or_else(|| field.invalid("a time of day from 00:00 to 23:59"))
}

fn parse_time(text: &str) -> Option<TimeOfDay> {
    let (hours, minutes) = text.split_once(':')?;
    let part = |digits: &str, limit: u16| {
        let whole = digits.len() == 2 && digits.bytes().all(|b| b.is_ascii_digit());
        let value: u16 = digits.parse().ok()?;
        (whole && value < limit).then_some(value)
    };
    Some(TimeOfDay(part(hours, 24)? * 60 + part(minutes, 60)?))
}

fn read_requests(map: &mut MapReader<'_>) -> Result<Option<u32>, ConfigError> {
    map.optional("requests").map(|field| field.number(1..=MAX_REQUESTS)).transpose()
}
