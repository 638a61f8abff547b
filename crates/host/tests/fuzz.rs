//! Stateful fuzzing of whole hosts against a simple oracle.
//!
//! A run is a seed. The environment variables `GALENALOFT_FUZZ_SEED` and `GALENALOFT_FUZZ_STEPS`
//! choose the first seed and the least number of steps of a longer run; `GALENALOFT_FUZZ_LOG`
//! shows the hosts' events.

mod world;

use std::env;
use std::thread;

use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::world::scene::run;
use crate::world::steps::Step;

/// Steps of one run.
const STEPS_PER_SEED: usize = 60;

/// Runs at the same time.
const THREADS: u64 = 5;

/// Steps of all runs together, in CI.
const CI_STEPS: usize = 30_000;

fn steps_of(seed: u64) -> Vec<Step> {
    let mut g = Gen::from_size_and_seed(STEPS_PER_SEED, seed);
    (0..STEPS_PER_SEED).map(|_| Step::arbitrary(&mut g)).collect()
}

/// Removes steps one by one for as long as something still does not hold.
fn shrink(mut steps: Vec<Step>) -> (Vec<Step>, Vec<String>) {
    let mut broken = run(&steps);
    let mut index = steps.len();
    while index > 0 {
        index -= 1;
        let mut fewer = steps.clone();
        fewer.remove(index);
        let still = run(&fewer);
        if !still.is_empty() {
            (steps, broken) = (fewer, still);
        }
    }
    (steps, broken)
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| text.parse().expect("a whole number"))
}

/// Returns the first step sequence among the seeds that breaks something.
fn first_broken(seeds: impl Iterator<Item = u64>) -> Option<(u64, Vec<Step>)> {
    let mut steps = seeds.map(|seed| (seed, steps_of(seed)));
    steps.find(|(_, steps)| !run(steps).is_empty())
}

#[test]
fn what_must_always_hold_holds_under_any_faults() {
    let first = number("GALENALOFT_FUZZ_SEED", 1);
    let steps = number("GALENALOFT_FUZZ_STEPS", CI_STEPS as u64);
    let seeds = steps.div_ceil(STEPS_PER_SEED as u64);
    let broken = thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|n| {
                scope.spawn(move || {
                    first_broken((first + n..first + seeds).step_by(THREADS as usize))
                })
            })
            .collect();
        let found = workers.into_iter().filter_map(|worker| worker.join().expect("no panic"));
        found.min_by_key(|(seed, _)| *seed)
    });
    if let Some((seed, steps)) = broken {
        let (steps, broken) = shrink(steps);
        panic!("seed {seed} breaks {broken:#?}\nafter {steps:#?}");
    }
}

#[test]
fn a_seed_replays_exactly() {
    for seed in 1..4 {
        assert_eq!(run(&steps_of(seed)), run(&steps_of(seed)), "seed {seed}");
    }
}
