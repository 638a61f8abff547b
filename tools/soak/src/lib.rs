//! Runs edge hosts as processes on loopback, injects faults from outside and checks what callers
//! and searchers saw.
//!
//! `plan` draws the faults from a seed, `notices` what searchers state in their answers, `evacuations` which zones are
//! evacuated, `restores` when the store comes back from a copy, `world` carries them out on `edge` processes and through `proxy` connections, `callers` send requests
//! meanwhile, `check` compares what both ends saw. `crowd` has hostile callers for tests and measurements.

mod callers;
mod check;
pub mod crowd;
pub mod edge;
mod evacuations;
mod notices;
mod plan;
mod proxy;
mod restores;
pub mod run;
mod world;
