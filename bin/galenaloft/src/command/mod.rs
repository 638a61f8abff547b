//! The commands.

mod ask;
mod check;
mod completions;
mod logs;
mod status;

use tokio::runtime::Builder;

use crate::error::CommandError;
use crate::options::Command;

/// Carries out one command.
pub fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Check { sheet, against } => check::check(&sheet, against.as_deref()),
        Command::Completions(shell) => {
            print!("{}", completions::script(shell));
            Ok(())
        }
        Command::Logs { files, request } => logs::logs(&files, request.as_deref()),
        command => Builder::new_current_thread().enable_all().build()?.block_on(remote(command)),
    }
}

async fn remote(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Status { hosts, format } => status::status(&hosts, format).await,
        Command::Explain { host, request } => status::explain(host, &request).await,
        Command::Drain { host } => status::drain(host).await,
        Command::Search { host, kind, query, limit } => ask::search(host, kind, query, limit).await,
        Command::Fetch { host, kind, key } => ask::fetch(host, kind, key).await,
        Command::Submit(args) => ask::submit(args).await,
        Command::Check { .. } | Command::Completions(_) | Command::Logs { .. } => Ok(()),
    }
}
