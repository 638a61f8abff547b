use std::time::Duration;
use std::time::Instant;

use super::Event;
use super::Limiter;

#[test]
fn values_that_would_break_the_line_are_quoted() {
    let event = Event::new("x").with("plain", 3).with("spaced", "a b").with("lines", "a\nb=\"c\"");
    assert_eq!(event.line(), r#"event=x plain=3 spaced="a b" lines="a\nb=\"c\"""#);
    assert_eq!(Event::new("x").with("empty", "").line(), r#"event=x empty="""#);
}

#[test]
fn lines_beyond_the_bound_are_counted_and_told_with_the_next_one() {
    let now = Instant::now();
    let mut limiter = Limiter::new(2);
    let passed: Vec<Option<u64>> = (0..5).map(|_| limiter.pass("x", now)).collect();
    assert_eq!(passed, [Some(0), Some(0), None, None, None]);
    assert_eq!(limiter.pass("y", now), Some(0));
    assert_eq!(limiter.pass("x", now + Duration::from_secs(1)), Some(3));
}
