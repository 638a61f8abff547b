//! Faults that fuzzing found, each as the few steps that showed it.

mod world;

use crate::world::platform::PlatformFault;
use crate::world::scene::run;
use crate::world::searchers::Fault;
use crate::world::steps::Step;

fn wait(ms: u16) -> Step {
    Step::Wait { ms }
}

#[track_caller]
fn assert_holds(steps: &[Step]) {
    assert_eq!(run(steps), Vec::<String>::new());
}

#[test]
fn the_copy_of_an_outcome_answers_only_its_own_request() {
    assert_holds(&[
        Step::TakeTicket { host: 1 },
        wait(10),
        Step::Submit { host: 1, ticket: 0, other_body: false },
        wait(500),
        Step::Kill { host: 1 },
        Step::Submit { host: 2, ticket: 0, other_body: true },
        Step::Submit { host: 2, ticket: 0, other_body: false },
        wait(2_000),
    ]);
}

#[test]
fn a_refused_sheet_does_not_hide_an_older_valid_one_of_a_peer() {
    assert_holds(&[
        Step::Split,
        Step::Kill { host: 2 },
        Step::Restart { host: 2 },
        Step::Publish { worth: 255, valid: true },
        Step::Publish { worth: 26, valid: false },
        wait(889),
    ]);
}

#[test]
fn a_searcher_that_left_while_nobody_listened_gets_no_work_from_its_new_owner() {
    assert_holds(&[
        Step::Kill { host: 2 },
        Step::Isolate { host: 0 },
        Step::SearcherFault { searcher: 0, fault: Fault::Draining },
        wait(1_999),
        wait(1_999),
        Step::Search { host: 1 },
        Step::Search { host: 3 },
        wait(1_999),
    ]);
}

#[test]
fn an_invalid_newest_sheet_does_not_make_watchers_read_without_pause() {
    let mut steps = vec![Step::Publish { worth: 1, valid: false }];
    steps.extend((0..10).map(|_| wait(1_999)));
    steps.push(Step::PlatformFault { fault: PlatformFault::Down });
    steps.push(wait(1_999));
    assert_holds(&steps);
}

#[test]
fn a_planned_stop_under_load_cuts_no_request_and_keeps_its_tickets() {
    let mut steps = vec![Step::TakeTicket { host: 0 }, wait(5), Step::Drain { host: 0 }];
    for _ in 0..40 {
        steps.push(Step::Search { host: 0 });
        steps.push(Step::Submit { host: 3, ticket: 0, other_body: false });
        steps.push(wait(7));
    }
    assert_holds(&steps);
}

#[test]
fn a_ticket_whose_right_is_moving_runs_at_one_host_only() {
    for moment in 95..125 {
        let mut steps = vec![Step::TakeTicket { host: 0 }, wait(5), Step::Drain { host: 0 }];
        steps.push(wait(moment));
        for host in [1, 2, 3, 1, 2, 3] {
            steps.push(Step::Submit { host, ticket: 0, other_body: false });
        }
        steps.push(wait(1_900));
        assert_holds(&steps);
    }
}

#[test]
fn a_submission_whose_reply_never_came_in_time_is_not_called_not_run() {
    let mut steps: Vec<Step> =
        [4, 5].map(|searcher| Step::SearcherFault { searcher, fault: Fault::LateReplies }).into();
    steps.extend([Step::TakeTicket { host: 0 }, wait(5)]);
    steps.push(Step::Submit { host: 0, ticket: 0, other_body: false });
    steps.extend((0..8).map(|_| wait(1_999)));
    steps.push(Step::Submit { host: 1, ticket: 0, other_body: false });
    assert_holds(&steps);
}
