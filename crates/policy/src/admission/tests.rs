use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;

use super::AdmissionController;
use super::Draw;
use super::QueryAction;
use super::next_action;

const IN_ALL: Duration = Duration::from_millis(280);

/// Feeds a queue with `load` times what it can serve and returns the share at the end.
fn share_under(load: f64) -> f64 {
    let mut now = Instant::now();
    let mut controller = AdmissionController::default();
    let mut backlog: f64 = 0.0;
    for _ in 0..4_000 {
        let share = controller.share(1, now);
        backlog = (backlog + load * share - 1.0).clamp(0.0, 280.0);
        controller.note_wait(1, Duration::from_secs_f64(backlog / 1_000.0), IN_ALL, now);
        now += Duration::from_millis(1);
    }
    controller.share(1, now)
}

#[test]
fn a_flood_admits_about_what_can_be_served() {
    assert_eq!(share_under(0.9), 1.0);
    for load in [2.0, 5.0, 10.0] {
        let share = share_under(load);
        assert!(share * load > 0.6 && share * load < 1.6, "{load}: {share}");
    }
}

#[test]
fn one_rank_in_a_flood_leaves_the_share_of_another_alone() {
    let now = Instant::now();
    let mut controller = AdmissionController::default();
    for ms in 0..3_000 {
        let now = now + Duration::from_millis(ms);
        controller.note_wait(3, IN_ALL, IN_ALL, now);
        controller.note_wait(1, Duration::ZERO, IN_ALL, now);
    }
    let now = now + Duration::from_secs(3);
    assert!(controller.share(3, now) < 0.1);
    assert_eq!(controller.share(1, now), 1.0);
}

quickcheck! {
    fn what_a_lower_share_admits_a_higher_one_admits_too(id: String, a: u8, b: u8) -> bool {
        let (low, high) = (f64::from(a.min(b)) / 255.0, f64::from(a.max(b)) / 255.0);
        let draw = Draw::from_request_id(&id);
        !draw.is_below(low) || draw.is_below(high)
    }
}

#[test]
fn a_query_that_was_asked_before_is_not_called_not_run() {
    assert_eq!(next_action(false, true), QueryAction::AskShards);
    assert_eq!(next_action(true, true), QueryAction::AskShards);
    assert_eq!(next_action(true, false), QueryAction::KeepAnswer);
    assert_eq!(next_action(false, false), QueryAction::Refuse);
}
