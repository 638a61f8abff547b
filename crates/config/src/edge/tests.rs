use insta::assert_snapshot;

use super::EdgeSettings;

const GOOD: &str = "\
host: e1
zone: a
listen:
  callers: 127.0.0.1:1
  readiness: 127.0.0.1:2
  peers: 127.0.0.1:3
  metrics: 127.0.0.1:4
store: 127.0.0.1:5
seeds: [\"127.0.0.1:6\"]
processor: { share: 0.25, speed: 2 }
extra-requests: { ratio: 0.2, slack: 54, window-seconds: 10 }
grace-seconds: 6
caller-round-trip-ms: 6.5
evacuation: true
admission: by-cost
memory-mb: 112
descriptors: 4096
";

/// Replacements that each make the good settings bad ones.
const BAD: [(&str, &str); 15] = [
    ("host: e1\n", ""),
    ("zone: a", "zone: a/b"),
    ("callers: 127.0.0.1:1", "callers: localhost:1"),
    ("  metrics: 127.0.0.1:4\n", ""),
    ("store: 127.0.0.1:5", "store: 5"),
    ("[\"127.0.0.1:6\"]", "127.0.0.1:6"),
    ("share: 0.25", "share: 0"),
    ("speed: 2", "cores: 2"),
    ("ratio: 0.2", "ratio: -1"),
    ("grace-seconds: 6", "grace-seconds: 6s"),
    ("caller-round-trip-ms: 6.5", "caller-round-trip: 6.5"),
    ("evacuation: true", "evacuation: 5000"),
    ("by-cost", "by-rank"),
    ("memory-mb: 112", "memory-mb: 8"),
    ("descriptors: 4096", "descriptors: many"),
];

#[test]
fn good_edge_settings_are_accepted() {
    assert_snapshot!(format!("{:#?}", EdgeSettings::parse("edge.yaml", GOOD).unwrap()));
}

#[test]
fn bad_edge_settings_are_refused() {
    let errors = BAD.map(|(good, bad)| {
        let text = GOOD.replacen(good, bad, 1);
        assert_ne!(text, GOOD, "`{good}` is not in the good settings");
        EdgeSettings::parse("edge.yaml", &text).unwrap_err().to_string()
    });
    assert_snapshot!(errors.join("\n"));
}
