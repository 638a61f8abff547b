use super::*;

fn queue(now: Instant) -> SearcherQueue {
    let spec = SearcherSpec {
        id: "s1".into(),
        zone: "a".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 2,
        connections: 8,
    };
    SearcherQueue::new(spec, &BTreeMap::new(), mpsc::unbounded_channel().0, now)
}

fn is_draining(queue: &SearcherQueue) -> bool {
    queue.load().2
}

#[test]
fn a_health_answer_asked_before_a_searcher_said_that_it_drains_does_not_reopen_it() {
    let now = Instant::now();
    let queue = queue(now);
    queue.record_draining(now + Duration::from_millis(10));
    assert!(!queue.record_health(Some(false), now));
    assert!(is_draining(&queue));
    assert!(queue.record_health(Some(false), now + Duration::from_millis(20)));
    assert!(!is_draining(&queue));
}
