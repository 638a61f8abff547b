//! One seed from start to verdict.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::callers;
use crate::callers::Record;
use crate::check;
use crate::evacuations;
use crate::notices;
use crate::plan;
use crate::plan::Kinds;
use crate::restores;
pub use crate::world::Size;
use crate::world::World;

/// Callers for each host.
const CALLERS: usize = 2;

/// Time after the last fault until the system must serve everything again.
const RECOVERY: Duration = Duration::from_secs(5);

/// Time for which it is watched then.
const AFTER: Duration = Duration::from_secs(2);

/// What a seed showed.
#[derive(Debug, Clone)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Requests sent.
    pub requests: usize,
    /// Requests answered with success.
    pub served: usize,
    /// Actions played.
    pub actions: usize,
    /// Promises that were broken, empty on success.
    pub broken: Vec<String>,
}

/// Plays one seed for `time` of faults, and checks what callers and searchers saw.
pub async fn run(seed: u64, size: Size, time: Duration) -> io::Result<Report> {
    let hosts = size.hosts;
    let shards = size.shards;
    let world = World::start(size).await?;
    let mut rng = SmallRng::seed_from_u64(seed);
    let kinds = Kinds::of(seed);
    let began = Instant::now();
    let record = Record::default();
    let faults_end = began + time;
    let stop = Arc::new(tokio::sync::watch::channel(false).0);
    let addresses = Arc::new(world.callers().await);
    let mut load = JoinSet::new();
    for number in 0..hosts * CALLERS {
        let until = stop.subscribe();
        let (addresses, record) = (addresses.clone(), record.clone());
        load.spawn(callers::call_until(addresses, record, seed, number, until));
    }
    let mut played = JoinSet::new();
    let mut actions = 0;
    if kinds == Kinds::All {
        // Drawn on their own, so that the faults of a seed do not depend on them.
        let rng = SmallRng::seed_from_u64(!seed);
        played.spawn(play_notices(world.clone(), seed, rng, faults_end));
    }
    // Drawn on their own too.
    let zones_rng = SmallRng::seed_from_u64(seed.rotate_left(32));
    let evacuations =
        Draws { name: "evacuation", pause: evacuations::pause, draw: evacuations::draw };
    let evacuated = world.clone();
    played.spawn(play_in_turn(evacuations, seed, zones_rng, faults_end, move |evacuation| {
        let world = evacuated.clone();
        async move { world.play_evacuation(evacuation).await }
    }));
    if kinds == Kinds::All {
        let rng = SmallRng::seed_from_u64((!seed).rotate_left(32));
        let restores = Draws { name: "restore", pause: restores::pause, draw: restores::draw };
        let restored = world.clone();
        played.spawn(play_in_turn(restores, seed, rng, faults_end, move |restore| {
            let world = restored.clone();
            async move { world.play_restore(restore).await }
        }));
    }
    while Instant::now() < faults_end {
        let action = plan::draw(kinds, &mut rng);
        println!("seed={seed} at_ms={} action={action:?}", began.elapsed().as_millis());
        actions += 1;
        let world = world.clone();
        played.spawn(async move { world.play(action).await });
        sleep(plan::pause(&mut rng)).await;
    }
    while let Some(result) = played.join_next().await {
        result.map_err(io::Error::other)??;
    }
    world.settle().await;
    sleep(RECOVERY).await;
    let recovered = Instant::now();
    sleep(AFTER).await;
    stop.send_replace(true);
    while let Some(result) = load.join_next().await {
        result.map_err(io::Error::other)?;
    }
    world.check_processes().await;
    let seen = record.all();
    let history = world.history();
    let mut broken = history.broken.clone();
    broken.extend(check::check(&seen, &history, hosts, shards, recovered));
    let served = seen.iter().filter(|seen| seen.is_served()).count();
    Ok(Report { seed, requests: seen.len(), served, actions, broken })
}

/// How events of one kind are drawn that follow each other.
struct Draws<T> {
    /// What the output calls such an event.
    name: &'static str,
    /// Draws the pause before an event.
    pause: fn(&mut SmallRng) -> Duration,
    /// Draws an event.
    draw: fn(&mut SmallRng) -> T,
}

/// Draws and plays events of one kind, one after the other, until `end`.
async fn play_in_turn<T: fmt::Debug, F: Future<Output = ()>>(
    draws: Draws<T>,
    seed: u64,
    mut rng: SmallRng,
    end: Instant,
    play: impl Fn(T) -> F,
) -> io::Result<()> {
    let began = Instant::now();
    loop {
        sleep((draws.pause)(&mut rng)).await;
        if Instant::now() >= end {
            return Ok(());
        }
        let event = (draws.draw)(&mut rng);
        println!("seed={seed} at_ms={} {}={event:?}", began.elapsed().as_millis(), draws.name);
        play(event).await;
    }
}

/// Draws and plays statements of searchers until `end`.
async fn play_notices(
    world: Arc<World>,
    seed: u64,
    mut rng: SmallRng,
    end: Instant,
) -> io::Result<()> {
    let began = Instant::now();
    let mut played = JoinSet::new();
    while Instant::now() < end {
        let notice = notices::draw(&mut rng);
        println!("seed={seed} at_ms={} notice={notice:?}", began.elapsed().as_millis());
        let world = world.clone();
        played.spawn(async move { world.play_notice(notice).await });
        sleep(notices::pause(&mut rng)).await;
    }
    while let Some(result) = played.join_next().await {
        result.map_err(io::Error::other)??;
    }
    Ok(())
}
