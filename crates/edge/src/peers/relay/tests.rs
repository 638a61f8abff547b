use std::sync::Arc;

use galenaloft_config::edge::EdgeSettings;
use galenaloft_policy::store_position::StorePosition;
use tokio::net::TcpListener;

use super::*;
use crate::host::Host;
use crate::host::KnownSearchers;

/// Guards against a host that never gets the store's content from a peer again after their connection
/// was closed once.
#[tokio::test]
async fn peer_whose_connection_was_closed_is_asked_on_a_new_one() {
    let text = "host: h1\nzone: a\nlisten:\n  callers: 127.0.0.1:1\n  readiness: 127.0.0.1:2\n  peers: \
                127.0.0.1:3\n  metrics: 127.0.0.1:4\nstore: 127.0.0.1:5\n";
    let host = Arc::new(Host::new(EdgeSettings::parse("h1.yaml", text).unwrap(), 1));
    let position = StorePosition { era: 1, revision: 7 };
    let known = KnownSearchers { searchers: Vec::new(), position, as_of: now() };
    *lock(&host.known_searchers) = Some(known);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        drop(listener.accept().await);
        crate::peers::serve(host, listener).await;
    });
    let relays = Relays::default();
    let limit = Duration::from_millis(900);
    assert!(relays.fetch_store_view(address, limit).await.is_none());
    let view = relays.fetch_store_view(address, limit).await;
    assert_eq!(view.map(|view| view.position), Some(position));
}
