use std::collections::VecDeque;
use std::sync::Mutex;

use galenaloft_config::settings::Settings;
use galenaloft_control_plane::PlatformError;
use galenaloft_control_plane::wire::ConfigValue;
use galenaloft_peer::TcpConnector;
use galenaloft_policy::ticket::TicketKey;
use galenaloft_searcher::HttpConnector;
use tokio::time::Instant;

use super::*;
use crate::node::Identity;

/// Answers reads of keys from a script, then without change, and records when they came.
#[derive(Debug, Default)]
struct ScriptedPlatform {
    answers: Mutex<VecDeque<Result<WatchOutcome, PlatformError>>>,
    /// Time and longest wait of each read.
    reads: Mutex<Vec<(Instant, Duration)>>,
}

impl PlatformReader for ScriptedPlatform {
    async fn watch(
        &self,
        _: &str,
        _: Revision,
        wait: Duration,
    ) -> Result<WatchOutcome, PlatformError> {
        lock(&self.reads).push((Instant::now(), wait));
        let unchanged = WatchOutcome::Unchanged { version: 0, tag: String::new() };
        lock(&self.answers).pop_front().unwrap_or(Ok(unchanged))
    }

    async fn hosts(&self, _: &str) -> Result<HostListRead, PlatformError> {
        Err(PlatformError::TimedOut)
    }
}

#[derive(Debug)]
struct ScriptedNetwork;

impl Network for ScriptedNetwork {
    type Peers = TcpConnector;
    type Searchers = HttpConnector;
    type Platform = ScriptedPlatform;
}

/// Returns a host named `name` in zone `z`, whose platform answers from a script.
fn node(
    name: &str,
    answers: impl IntoIterator<Item = Result<WatchOutcome, PlatformError>>,
) -> Arc<Node<ScriptedNetwork>> {
    let text = format!(
        "host: {name}\nzone: z\nlisten: {{ callers: \"127.0.0.1:1\", peers: \"127.0.0.1:2\", \
         operators: \"127.0.0.1:3\" }}\nplatform: 127.0.0.1:4\n"
    );
    let settings = Settings::parse("settings", &text).unwrap();
    let identity = Identity { incarnation: 1, ticket_key: TicketKey(1, 1), generation: 1 };
    let platform = ScriptedPlatform {
        answers: Mutex::new(answers.into_iter().collect()),
        ..ScriptedPlatform::default()
    };
    Node::new(settings, identity, TcpConnector, HttpConnector, platform)
}

const SHEET: &str = "customer: c\nranks:\n  urgent: { order: 1, floor: 30% }\nkinds:\n  look: { \
                     operation: search, collection: entries, rank: urgent, worth: 9, deadline: \
                     300ms, coverage-floor: 60% }\n";

/// Guards against an entity tag that is recorded before the text that it belongs to was read: after a
/// failed read the text was never read again.
#[tokio::test]
async fn a_text_published_again_is_read_after_a_failed_read() {
    let changed = || WatchOutcome::Unchanged { version: 1, tag: "\"1.b\"".to_owned() };
    let value = ConfigValue { key: SHEET_KEY.to_owned(), version: 1, value: SHEET.to_owned() };
    let value = WatchOutcome::Value(value);
    let answers = [Ok(changed()), Err(PlatformError::TimedOut), Ok(changed()), Ok(value)];
    let node = node("h1", answers);
    let mut last_read = LastRead { version: 1, tag: "\"1.a\"".to_owned() };
    assert!(!watch(&node, PublishedKey::Sheet, &mut last_read, Duration::ZERO).await);
    assert!(watch(&node, PublishedKey::Sheet, &mut last_read, Duration::ZERO).await);
    assert!(node.values.sheet().is_some());
    assert_eq!(last_read.tag, "\"1.b\"");
}

/// Adds or updates another host of the zone.
fn apply_host(node: &Node<ScriptedNetwork>, name: &str, state: HostState) {
    let fact = HostFact {
        host: name.into(),
        zone: "z".into(),
        address: "127.0.0.1:5".parse().unwrap(),
        capacity: FULL_CORE_CAPACITY,
        incarnation: 1,
        generation: 1,
        state,
        adopted: Vec::new(),
    };
    lock(&node.members).apply(fact, now());
}

/// Guards against a value that no host of a zone watches for 30 s after the zone's watchers were lost.
#[tokio::test(start_paused = true)]
async fn a_host_watches_soon_after_the_watchers_of_its_zone_were_lost() {
    let names = ["h1", "h2", "h3"].map(Into::into);
    let ranked = rank_hosts(SHEET_KEY, names.iter());
    let [first, second, last] = [0, 1, 2].map(|rank| ranked[rank].to_string());
    let node = node(&last, []);
    for watcher in [&first, &second] {
        apply_host(&node, watcher, HostState::Alive);
    }
    let task = tokio::spawn(run_watcher(node.clone(), PublishedKey::Sheet));
    sleep(Duration::from_secs(5)).await;
    assert_eq!(
        lock(&node.platform.reads).iter().map(|read| read.1).collect::<Vec<_>>(),
        [Duration::ZERO]
    );
    let lost_at = Instant::now();
    for watcher in [&first, &second] {
        apply_host(&node, watcher, HostState::Dead);
    }
    sleep(Duration::from_secs(2)).await;
    let reads = lock(&node.platform.reads).clone();
    let watches: Vec<_> =
        reads.iter().filter(|(at, wait)| *at >= lost_at && !wait.is_zero()).collect();
    assert!(!watches.is_empty(), "{reads:?}");
    task.abort();
}
