//! Asking a host as a caller would.

use std::net::SocketAddr;

use galenaloft_caller::CallerClient;
use galenaloft_caller::CallerError;
use galenaloft_caller::wire::FetchRequest;
use galenaloft_caller::wire::SearchRequest;
use galenaloft_caller::wire::SubmitRequest;
use galenaloft_caller::wire::TicketRequest;

use crate::error::CommandError;
use crate::options::SubmitArgs;
use crate::report;

/// Searches and prints the answer.
pub async fn search(
    host: SocketAddr,
    kind: String,
    query: String,
    limit: u32,
) -> Result<(), CommandError> {
    let req = SearchRequest { kind, query, limit };
    let answer = connect(host).await?.search(&req).await.map_err(of(host))?;
    print!("{}", report::answer(&answer));
    Ok(())
}

/// Fetches and prints the entry.
pub async fn fetch(host: SocketAddr, kind: String, key: String) -> Result<(), CommandError> {
    let req = FetchRequest { kind, key };
    let answer = connect(host).await?.fetch(&req).await.map_err(of(host))?;
    print!("{}", report::answer(&answer));
    Ok(())
}

/// Takes a ticket unless one is given, submits and prints the receipt.
pub async fn submit(args: SubmitArgs) -> Result<(), CommandError> {
    let SubmitArgs { host, path, kind, key, body, ticket } = args;
    let mut client = connect(host).await?;
    let ticket = match ticket {
        Some(ticket) => ticket,
        None => {
            let req = TicketRequest { kind: kind.clone() };
            client.ticket(&req).await.map_err(of(host))?.ticket
        }
    };
    println!("ticket    {ticket}");
    let req = SubmitRequest { kind, ticket, key, body };
    let receipt = client.submit(path, &req).await.map_err(of(host))?;
    print!("{}", report::receipt(&receipt));
    Ok(())
}

async fn connect(host: SocketAddr) -> Result<CallerClient, CommandError> {
    CallerClient::connect(host).await.map_err(of(host))
}

fn of(host: SocketAddr) -> impl Fn(CallerError) -> CommandError {
    move |e| CommandError::Caller(host, e)
}
