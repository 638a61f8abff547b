use super::*;

const LOG: &str = r#"time=2 level=info event=incomplete request=r1 why="1 shards missing" ms=70
time=1 level=info event=hedge request=r1 service=s3 searcher=i-9 waited_ms=14
time=3 level=info event=failed request=r2 why="too few shards answered" ms=90
time=4 level=info event=failed request=r3 why="too few shards answered" ms=91
time=5 level=info event=config_adopted version=7 why=none"#;

#[test]
fn the_story_of_a_request_is_in_order() {
    let lines: Vec<String> = story(LOG, "r1").lines().map(str::to_owned).collect();
    assert!(lines[0].contains("event=hedge") && lines[1].contains("event=incomplete"));
    assert_eq!(story(LOG, "r9"), "no line names request r9\n");
}

#[test]
fn causes_are_counted_and_the_most_frequent_comes_first() {
    let table = causes(LOG);
    let rows: Vec<&str> = table.lines().map(str::trim_end).collect();
    assert_eq!(rows.len(), 2);
    assert!(rows[0].starts_with("      2  failed       too few shards answered"), "{table}");
    assert!(rows[1].contains("incomplete"));
    assert_eq!(causes(""), "no request failed\n");
}
