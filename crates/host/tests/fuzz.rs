//! Stateful fuzzing of whole hosts against a simple oracle.
//!
//! A run is a seed. The environment variables `GALENALOFT_FUZZ_SEED` and `GALENALOFT_FUZZ_STEPS`
//! choose the first seed and the least number of steps of a longer run; `GALENALOFT_FUZZ_LOG`
//! shows the hosts' events.

mod world;

use std::env;

use galenaloft_telemetry::log::silence;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use tokio::runtime::Builder;

use crate::world::scene::Scene;
use crate::world::steps::Step;

/// Steps of one run.
const STEPS_PER_SEED: usize = 60;

/// Steps of all runs together, in CI.
const CI_STEPS: usize = 6_000;

fn run(steps: &[Step]) -> Vec<String> {
    if env::var_os("GALENALOFT_FUZZ_LOG").is_none() {
        silence();
    }
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut scene = Scene::new().await;
        for step in steps {
            scene.play(step).await;
        }
        scene.judge().await
    })
}

fn steps_of(seed: u64) -> Vec<Step> {
    let mut g = Gen::from_size_and_seed(STEPS_PER_SEED, seed);
    (0..STEPS_PER_SEED)
        .map(|_| Step::arbitrary(&mut g))
        .collect()
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

#[test]
fn what_must_always_hold_holds_under_any_faults() {
    let first = number("GALENALOFT_FUZZ_SEED", 1);
    let steps = number("GALENALOFT_FUZZ_STEPS", CI_STEPS as u64);
    let seeds = steps.div_ceil(STEPS_PER_SEED as u64);
    for seed in first..first + seeds {
        let steps = steps_of(seed);
        if !run(&steps).is_empty() {
            let (steps, broken) = shrink(steps);
            panic!("seed {seed} breaks {broken:#?}\nafter {steps:#?}");
        }
    }
}

#[test]
fn a_seed_replays_exactly() {
    for seed in 1..4 {
        assert_eq!(run(&steps_of(seed)), run(&steps_of(seed)), "seed {seed}");
    }
}
