//! Short seeded runs of the fault soak; `galenaloft-soak` plays longer ones.

use std::time::Duration;

use galenaloft_soak::run::Report;
use galenaloft_soak::run::Size;
use galenaloft_soak::run::run;

/// Time of faults.
const TIME: Duration = Duration::from_secs(6);

async fn play(seed: u64, port: u16) -> Report {
    let binary = env!("CARGO_BIN_EXE_galenaloft-edge").into();
    let size = Size { binary, hosts: 4, shards: 8, port, logs: None };
    run(seed, size, TIME).await.unwrap()
}

fn assert_kept(report: &Report) {
    assert!(report.requests > 500, "{report:?}");
    assert!(report.broken.is_empty(), "{report:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_work_breaks_no_promise() {
    assert_kept(&play(3, 29_000).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_break_no_promise() {
    assert_kept(&play(1, 29_100).await);
}

/// Regression: a searcher that went while the store was away was used for good.
#[tokio::test(flavor = "multi_thread")]
async fn faults_of_seed_5_break_no_promise() {
    assert_kept(&play(5, 29_200).await);
}
