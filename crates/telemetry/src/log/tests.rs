use super::Event;

#[test]
fn values_that_would_break_the_line_are_quoted() {
    let event = Event::new("x").with("plain", 3).with("spaced", "a b").with("lines", "a\nb=\"c\"");
    assert_eq!(event.line(), r#"event=x plain=3 spaced="a b" lines="a\nb=\"c\"""#);
    assert_eq!(Event::new("x").with("empty", "").line(), r#"event=x empty="""#);
}
