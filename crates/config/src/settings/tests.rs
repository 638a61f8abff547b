use insta::assert_snapshot;

use super::Settings;

const GOOD: &str = "\
host: h1
zone: a
listen:
  callers: 127.0.0.1:1
  peers: 127.0.0.1:2
  operators: 127.0.0.1:3
platform: 127.0.0.1:4
peers: [\"127.0.0.1:5\"]
limits: { connections: 10, body-bytes: 4096, read-timeout: 2s, memory-mb: 112, descriptors: 4096 }
drain: { balancer-lag: 1s, grace: 10s }
log: warn
";

/// Replacements that each make the good settings bad ones.
const BAD: [(&str, &str); 12] = [
    ("host: h1\n", ""),
    ("host: h1", "host: \"\""),
    ("zone: a", "zone: a/b"),
    ("callers: 127.0.0.1:1", "callers: localhost:1"),
    ("  operators: 127.0.0.1:3\n", ""),
    ("platform: 127.0.0.1:4", "platform: 4"),
    ("[\"127.0.0.1:5\"]", "127.0.0.1:5"),
    ("connections: 10", "connections: 0"),
    ("grace: 10s", "grace: 10"),
    ("memory-mb: 112", "memory-mb: 8"),
    ("descriptors: 4096", "descriptors: many"),
    ("log: warn", "log: loud"),
];

#[test]
fn good_settings_are_accepted() {
    assert_snapshot!(format!("{:#?}", Settings::parse("host.yaml", GOOD).unwrap()));
}

#[test]
fn bad_settings_are_refused() {
    let errors = BAD.map(|(good, bad)| {
        let text = GOOD.replacen(good, bad, 1);
        assert_ne!(text, GOOD, "`{good}` is not in the good settings");
        Settings::parse("host.yaml", &text).unwrap_err().to_string()
    });
    assert_snapshot!(errors.join("\n"));
}
