use crate::parse_layout;

const SEARCHER: &str =
    r#"{"id":"s-1","zone":"a","address":"127.0.0.1:1","slots":2,"connections":25}"#;

/// Would start as many tasks.
const ENDLESS_SLOTS: &str = r#""slots":4000000000,"connections":4000000000"#;

const FIRM: &str = r#"{"firm":"north","documents":3}"#;

/// Overflows the sum of the firm's documents.
const ENDLESS_FIRM: &str = r#"{"firm":"north","documents":4294967295}"#;

fn layout(shards: &str) -> String {
    format!(
        r#"{{"searchers":[{SEARCHER}],"collections":[{{"name":"c","snapshots":[
        {{"id":1,"shards":[{shards}]}}]}}]}}"#
    )
}

fn shard(id: u32, first: u32, last: u32, replica: &str) -> String {
    format!(
        r#"{{"id":{id},"firstHash":{first},"lastHash":{last},"documents":3,
        "firms":[{{"firm":"north","documents":3}}],"replicas":["{replica}"]}}"#
    )
}

#[test]
fn a_layout_whose_shards_cover_every_hash_once_is_accepted() {
    let shards = [shard(1, 8, u32::MAX, "s-1"), shard(0, 0, 7, "s-1")].join(",");
    let layout = parse_layout(&layout(&shards)).unwrap();
    let snapshot = &layout.collections["c"].snapshots[&1];
    assert_eq!(snapshot.documents(), 6);
    assert_eq!(snapshot.shard_of(8).unwrap().id, 1);
}

#[test]
fn an_invalid_layout_is_rejected_with_a_reason() {
    let full_range = shard(0, 0, u32::MAX, "s-1");
    let cases = [
        (layout(&shard(0, 0, 7, "s-1")), "no shard covers hash 8"),
        (layout(&shard(0, 1, u32::MAX, "s-1")), "gap or overlap"),
        (layout(&[full_range.clone(), shard(1, 9, 10, "s-1")].join(",")), "gap or overlap"),
        (layout(&shard(0, 0, u32::MAX, "s-9")), "unknown searcher `s-9`"),
        (layout(&full_range.replace("\"documents\":3,", "\"documents\":4,")), "its firms have 3"),
        (layout(&full_range).replace("\"slots\":2", "\"slots\":0"), "0 slots"),
        (layout(&full_range).replace("127.0.0.1:1", "host:1"), "`host:1`"),
        (
            layout(&full_range).replace("\"slots\":2,\"connections\":25", ENDLESS_SLOTS),
            "at most 4096 connections",
        ),
        (layout(&full_range.replace(FIRM, &format!("{FIRM},{ENDLESS_FIRM}"))), "its firms have"),
        (layout(&full_range).replace("slots", "slotz"), "unknown field `slotz`"),
        ("{".to_owned(), "EOF"),
    ];
    for (text, reason) in cases {
        let error = parse_layout(&text).unwrap_err();
        assert!(error.contains(reason), "`{error}` lacks `{reason}`");
    }
}
