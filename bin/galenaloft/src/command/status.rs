//! Looking at hosts and stopping them.

use std::net::SocketAddr;
use std::time::Duration;

use galenaloft_operator::OperatorClient;
use galenaloft_operator::OperatorError;
use galenaloft_operator::wire::HostStatus;
use tokio::time::sleep;

use crate::error::CommandError;
use crate::options::StatusFormat;
use crate::report;

/// Pause between two views.
const WATCH_PERIOD: Duration = Duration::from_secs(1);

/// Moves the cursor home and clears the screen.
const CLEAR: &str = "\x1b[H\x1b[2J";

/// Prints the state of hosts.
pub async fn status(hosts: &[SocketAddr], format: StatusFormat) -> Result<(), CommandError> {
    loop {
        let mut states = Vec::new();
        for host in hosts {
            states.push((*host, read(*host).await));
        }
        match format {
            StatusFormat::Json => {
                let valid: Vec<HostStatus> = states.into_iter().filter_map(|s| s.1.ok()).collect();
                let text = serde_json::to_string_pretty(&valid);
                println!("{}", text.expect("generated messages are always valid JSON"));
            }
            StatusFormat::Text => print!("{}", report::hosts(&states)),
            StatusFormat::Watch => print!("{CLEAR}{}", report::hosts(&states)),
        }
        if format != StatusFormat::Watch {
            return Ok(());
        }
        sleep(WATCH_PERIOD).await;
    }
}

/// Prints the decisions of a request.
pub async fn explain(host: SocketAddr, request: &str) -> Result<(), CommandError> {
    let mut client = connect(host).await?;
    let explanation = client.explain(request).await.map_err(of(host))?;
    println!("request {}", explanation.request_id);
    for decision in explanation.decisions {
        println!("  {decision}");
    }
    Ok(())
}

/// Starts a planned stop.
pub async fn drain(host: SocketAddr) -> Result<(), CommandError> {
    connect(host).await?.drain().await.map_err(of(host))?;
    println!("Host {host} is draining.");
    Ok(())
}

async fn read(host: SocketAddr) -> Result<HostStatus, OperatorError> {
    OperatorClient::connect(host).await?.status().await
}

async fn connect(host: SocketAddr) -> Result<OperatorClient, CommandError> {
    OperatorClient::connect(host).await.map_err(of(host))
}

fn of(host: SocketAddr) -> impl Fn(OperatorError) -> CommandError {
    move |e| CommandError::Operator(host, e)
}
