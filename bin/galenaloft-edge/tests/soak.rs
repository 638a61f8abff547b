//! Short seeded runs of the fault soak; `galenaloft-soak` makes longer ones.

use std::time::Duration;

use galenaloft_soak::run::Report;
use galenaloft_soak::run::Size;
use galenaloft_soak::run::run;

/// How long planned changes and faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(6);

async fn run_seed(seed: u64, port: u16) -> Report {
    let binary = env!("CARGO_BIN_EXE_galenaloft-edge").into();
    let size = Size { binary, hosts: 4, shards: 8, port, logs: None };
    run(seed, size, FAULT_TIME).await.unwrap()
}

/// Checks that the run sent enough requests and violated no guarantee.
fn assert_no_violations(report: &Report) {
    assert!(report.requests > 500, "{report:?}");
    assert!(report.broken.is_empty(), "{report:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_changes_violate_no_guarantee() {
    // A seed that is a multiple of 3 makes planned changes only, without faults.
    assert_no_violations(&run_seed(3, 29_000).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_violate_no_guarantee() {
    assert_no_violations(&run_seed(1, 29_100).await);
}

/// Guards against a searcher that left while the store was unreachable and was then used forever.
#[tokio::test(flavor = "multi_thread")]
async fn faults_of_seed_5_violate_no_guarantee() {
    assert_no_violations(&run_seed(5, 29_200).await);
}
