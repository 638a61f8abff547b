//! Playing the scene.

use std::sync::Arc;
use std::time::Duration;

use galenaloft_control_plane::SHEET_KEY;
use galenaloft_http::Limits;
use galenaloft_http::Server;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::catalogue::Catalogue;
use crate::error::StandinError;
use crate::options::Options;
use crate::platform::Control;
use crate::platform::PlatformState;
use crate::platform::handle;
use crate::searcher::RunLog;
use crate::searcher::SearcherProcess;
use crate::searcher::SearcherState;

/// Bounds on the platform's clients.
const LIMITS: Limits = Limits {
    connections: 4_096,
    head: 16 * 1024,
    body: 16 * 1024 * 1024,
    read_timeout: Duration::from_secs(60),
    idle_timeout: Duration::from_secs(60),
};

/// Plays the scene on a runtime of its own until its life ends.
pub fn run(options: Options) -> Result<(), StandinError> {
    Runtime::new()?.block_on(play(options))
}

/// Plays the scene on the present runtime.
pub async fn play(options: Options) -> Result<(), StandinError> {
    let Options { scene, sheet, life } = options;
    let address = scene.platform();
    let catalogue = Catalogue::new(&scene);
    let log = Arc::new(RunLog::default());
    let mut searchers = Vec::new();
    for (index, searcher) in catalogue.searchers().iter().enumerate() {
        let held = catalogue.held_by(index);
        let id = searcher.id.clone();
        let state = SearcherState::new(id, catalogue.scene_of(index), held, log.clone());
        let address = searcher.address.parse().expect("the catalogue makes valid addresses");
        searchers.push(SearcherProcess::start(state, address).await?);
    }
    let count = searchers.len();
    let platform = PlatformState::default();
    platform.publish(SHEET_KEY, sheet, None);
    let control = Arc::new(Control::new(scene, platform, log, catalogue, searchers));
    let listener =
        TcpListener::bind(address).await.map_err(|e| StandinError::Listen(address, e))?;
    println!("{count} searchers and the platform at {address} are up.");
    let (_stop, stop_rx) = watch::channel(false);
    let server = Server::plain(listener, LIMITS);
    let serving = server.serve(move |req| handle(control.clone(), req), stop_rx);
    // The end of the life is the normal end.
    let _ = timeout(life, serving).await;
    Ok(())
}
