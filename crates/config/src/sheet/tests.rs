use insta::assert_snapshot;

use super::Sheet;
use super::diff;

const GOOD: &str = "\
customer: kartenhaus
ticket-life: 10m
ranks:
  urgent: { order: 1, floor: 40% }
  bulk: { order: 2, floor: 10% }
kinds:
  check:
    operation: search
    collection: counters
    rank: urgent
    worth: 100
    deadline: 280ms
    coverage-floor: 98%
    stragglers: wait
    spread: none
    extra-load: 5%
    retries: 10%
  sweep:
    operation: search
    collection: counters
    rank: bulk
    worth: 1
    deadline: 5s
    coverage-floor: 90%
    finish-by: \"06:00\"
    requests: 20000
  file-fee:
    operation: file
    collection: billing
    rank: urgent
    worth: 500
    deadline: 2s
";

/// Replacements that each make the good sheet a bad one.
const BAD: [(&str, &str); 34] = [
    ("customer: kartenhaus\n", ""),
    ("customer: kartenhaus", "customer: kartenhaus\ncolour: red"),
    ("customer: kartenhaus", "customer: Karten haus"),
    ("customer: kartenhaus", "customer: [kartenhaus]"),
    ("customer: kartenhaus", "customer: kartenhaus\ncustomer: globos"),
    ("customer: kartenhaus", "customer: \"kartenhaus"),
    ("ticket-life: 10m", "ticket-life: 10"),
    ("ticket-life: 10m", "ticket-life: 2days"),
    ("order: 1", "order: 0"),
    ("order: 2", "order: 1"),
    ("order: 2", "order: second"),
    ("floor: 40%", "floor: 40"),
    ("floor: 40%", "floor: -1%"),
    ("floor: 10%", "floor: 61%"),
    ("{ order: 2, floor: 10% }", "{ order: 2 }"),
    ("{ order: 2, floor: 10% }", "{ order: 2, floor: 10%, cap: 20% }"),
    ("{ order: 2, floor: 10% }", "second"),
    ("    operation: file\n", ""),
    ("operation: file", "operation: files"),
    ("    collection: billing\n", ""),
    ("    rank: bulk\n", ""),
    ("rank: bulk", "rank: 2"),
    ("worth: 500", "worth: 0"),
    ("worth: 500", "worth: 1.5"),
    ("deadline: 280ms", "deadline: 280"),
    ("deadline: 280ms", "deadline: 1ms"),
    ("deadline: 280ms", "deadline: soon"),
    ("    coverage-floor: 98%\n", ""),
    ("coverage-floor: 98%", "coverage-floor: 0.98"),
    ("stragglers: wait", "stragglers: hedge"),
    ("spread: none", "spread: fair"),
    ("deadline: 2s", "deadline: 2s\n    extra-load: 5%"),
    ("deadline: 2s", "deadline: 2s\n    coverage-floor: 98%"),
    ("    requests: 20000\n", ""),
];

#[test]
fn a_good_sheet_is_accepted() {
    let sheet = Sheet::parse("sheet.yaml", GOOD).unwrap();
    assert_eq!((sheet.ranks.len(), sheet.kinds.len()), (2, 3));
}

#[test]
fn every_bad_sheet_is_refused_with_line_field_value_and_what_is_right() {
    let mut table = String::new();
    for (good, bad) in BAD {
        let text = GOOD.replacen(good, bad, 1);
        assert_ne!(text, GOOD, "`{good}` is not in the good sheet");
        let error = Sheet::parse("sheet.yaml", &text).unwrap_err();
        table += &format!("{error}\n");
    }
    for text in ["", "[]", "ranks: {}\ncustomer: x\nkinds: {}", "\t:"] {
        table += &format!("{}\n", Sheet::parse("sheet.yaml", text).unwrap_err());
    }
    assert_snapshot!(table);
}

#[test]
fn a_diff_tells_each_change() {
    let old = Sheet::parse("old.yaml", GOOD).unwrap();
    let changed = GOOD.replace("280ms", "250ms").replace("floor: 10%", "floor: 20%");
    let changed = changed.replace("  sweep:\n", "  night-sweep:\n");
    let new = Sheet::parse("new.yaml", &changed).unwrap();
    assert_snapshot!(diff(&old, &new).join("\n"));
    assert!(diff(&old, &old).is_empty());
}
