use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use super::AdmissionController;
use super::Draw;
use super::QueryAction;
use super::next_action;

/// Time that work is allowed between its arrival and its deadline.
const TIME_ALLOWED: Duration = Duration::from_millis(280);

/// Simulates a queue that receives `load` times the work it can serve. Returns the admitted share
/// at the end.
fn share_under_load(load: f64) -> f64 {
    let mut now = Instant::now();
    let mut controller = AdmissionController::default();
    let mut backlog_ms: f64 = 0.0;
    // Each step lasts one millisecond, in which the queue serves one millisecond of work.
    for _ in 0..4_000 {
        let share = controller.share(1, now);
        backlog_ms = (backlog_ms + load * share - 1.0).clamp(0.0, 280.0);
        controller.record_wait(1, Duration::from_secs_f64(backlog_ms / 1_000.0), TIME_ALLOWED, now);
        now += Duration::from_millis(1);
    }
    controller.share(1, now)
}

#[test]
fn under_overload_about_as_much_is_admitted_as_can_be_served() {
    assert_eq!(share_under_load(0.9), 1.0);
    for load in [2.0, 5.0, 10.0] {
        let share = share_under_load(load);
        // The share oscillates; the admitted load must stay within 0.6 to 1.6 times the capacity.
        assert!(share * load > 0.6 && share * load < 1.6, "{load}: {share}");
    }
}

#[test]
fn overload_of_one_rank_does_not_change_the_share_of_another() {
    let now = Instant::now();
    let mut controller = AdmissionController::default();
    for ms in 0..3_000 {
        let now = now + Duration::from_millis(ms);
        controller.record_wait(3, TIME_ALLOWED, TIME_ALLOWED, now);
        controller.record_wait(1, Duration::ZERO, TIME_ALLOWED, now);
    }
    let now = now + Duration::from_secs(3);
    assert!(controller.share(3, now) < 0.1);
    assert_eq!(controller.share(1, now), 1.0);
}

quickcheck! {
    fn a_higher_share_admits_every_query_of_a_lower_one(id: String, a: u8, b: u8) -> bool {
        let (low, high) = (f64::from(a.min(b)) / 255.0, f64::from(a.max(b)) / 255.0);
        let draw = Draw::from_request_id(&id);
        !draw.is_below(low) || draw.is_below(high)
    }
}

#[test]
fn a_query_that_has_asked_shards_is_never_refused() {
    assert_eq!(next_action(false, true), QueryAction::AskShards);
    assert_eq!(next_action(true, true), QueryAction::AskShards);
    assert_eq!(next_action(true, false), QueryAction::KeepAnswer);
    assert_eq!(next_action(false, false), QueryAction::Refuse);
}
