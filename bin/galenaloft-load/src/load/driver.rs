//! Sending every request at its due time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::error::LoadError;
use crate::load::attempts;
use crate::load::attempts::Attempts;
use crate::load::pool::Pool;
use crate::load::request::Draw;
use crate::load::request::send;
use crate::load::tally::Tally;
use crate::options::Options;
use crate::options::Stream;

/// Greatest lateness of the tool itself that is told apart, in microseconds.
const MAX_LATE: u64 = 60_000_000;

/// What the whole load came to.
#[derive(Debug)]
pub struct Outcome {
    /// Kinds with their rank, in the order of the command line.
    pub kinds: Vec<KindOutcome>,
    /// Time over which requests were counted.
    pub counted: Duration,
    /// How late the tool itself sent requests, in microseconds.
    pub lateness: Histogram<u64>,
}

/// What one kind came to.
#[derive(Debug)]
pub struct KindOutcome {
    /// Name of the kind.
    pub name: String,
    /// Rank of the kind.
    pub rank: u8,
    /// Counts and latencies.
    pub tally: Tally,
    /// Extra attempts per first attempt; `None` when no operators' address was given.
    pub extra_load: Option<f64>,
}

struct Shared {
    pool: Pool,
    tallies: Mutex<BTreeMap<String, Tally>>,
    lateness: Mutex<Histogram<u64>>,
}

/// Sends the whole load and waits for the end of every request.
pub async fn run(options: &Options) -> Result<Outcome, LoadError> {
    let lateness = Histogram::new_with_max(MAX_LATE, 3).expect("a valid range");
    let shared = Arc::new(Shared {
        pool: Pool::default(),
        tallies: Mutex::new(BTreeMap::new()),
        lateness: Mutex::new(lateness),
    });
    let before = attempts::read(&options.operators).await;
    let start = Instant::now();
    let mut streams = JoinSet::new();
    for (index, stream) in options.streams.iter().enumerate() {
        let (options, stream) = (options.clone(), stream.clone());
        streams.spawn(drive(shared.clone(), options, stream, index as u64, start));
    }
    show_progress(options, start).await;
    while streams.join_next().await.is_some() {}
    let after = attempts::read(&options.operators).await;
    let kinds = options.streams.iter().map(|stream| {
        let tally = locked(&shared.tallies).remove(&stream.name).unwrap_or_default();
        let none = Attempts::default();
        let of = |kinds: &BTreeMap<String, Attempts>| *kinds.get(&stream.name).unwrap_or(&none);
        let extra = (!options.operators.is_empty()).then(|| of(&after).extra_load(&of(&before)));
        KindOutcome { name: stream.name.clone(), rank: stream.kind.rank, tally, extra_load: extra }
    });
    let kinds = kinds.collect();
    let lateness = locked(&shared.lateness).clone();
    Ok(Outcome { kinds, counted: options.length - options.warm_up, lateness })
}

/// Sends one kind at its rate, with exponential gaps.
async fn drive(shared: Arc<Shared>, options: Options, stream: Stream, index: u64, start: Instant) {
    let mut rng = SmallRng::seed_from_u64(options.seed ^ (index << 32));
    let stream = Arc::new(stream);
    let mut requests = JoinSet::new();
    let mut due = start;
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / stream.rate;
        due += Duration::from_secs_f64(gap);
        if due >= start + options.length {
            break;
        }
        sleep_until(due).await;
        let counted = due >= start + options.warm_up;
        let host = options.hosts[rng.random_range(0..options.hosts.len())];
        let draw = Draw { random: rng.random(), keys: options.keys };
        let (shared, stream) = (shared.clone(), stream.clone());
        requests.spawn(async move {
            let late = due.elapsed();
            let ending = send(&shared.pool, host, &stream, draw, due).await;
            if counted {
                let latency = due.elapsed();
                let mut tallies = locked(&shared.tallies);
                tallies.entry(stream.name.clone()).or_default().add(ending, latency);
                drop(tallies);
                let micros = u64::try_from(late.as_micros()).unwrap_or(MAX_LATE);
                locked(&shared.lateness).saturating_record(micros);
            }
        });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
}

async fn show_progress(options: &Options, start: Instant) {
    let seconds = options.length.as_secs();
    let bar = match options.progress {
        true => ProgressBar::new(seconds),
        false => ProgressBar::hidden(),
    };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} s {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    for second in 1..=seconds {
        sleep_until(start + Duration::from_secs(second)).await;
        bar.inc(1);
    }
    bar.finish_and_clear();
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
