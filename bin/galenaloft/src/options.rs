//! Checked options of each command.

use std::net::SocketAddr;
use std::path::PathBuf;

use galenaloft_caller::FILE_PATH;
use galenaloft_caller::RESERVE_PATH;

use crate::cli::Galenaloft;
use crate::cli::GalenaloftCmd;
use crate::error::CommandError;

/// How the state of hosts is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusFormat {
    /// Once, as text.
    Text,
    /// Once, as JSON.
    Json,
    /// As text, again every second.
    Watch,
}

/// A shell with completion scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shell {
    /// GNU Bash.
    Bash,
    /// Fish.
    Fish,
    /// Z shell.
    Zsh,
}

/// A submission from the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitArgs {
    /// Callers' address of a host.
    pub host: SocketAddr,
    /// Path of the operation.
    pub path: &'static str,
    /// Kind of work.
    pub kind: String,
    /// Key that it concerns.
    pub key: String,
    /// Content.
    pub body: String,
    /// Ticket of an earlier try.
    pub ticket: Option<String>,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Check a sheet.
    Check { sheet: PathBuf, against: Option<PathBuf> },
    /// Show the state of hosts.
    Status { hosts: Vec<SocketAddr>, format: StatusFormat },
    /// Tell the decisions of a request.
    Explain { host: SocketAddr, request: String },
    /// Read logs.
    Logs { files: Vec<PathBuf>, request: Option<String> },
    /// Start a planned stop.
    Drain { host: SocketAddr },
    /// Search a collection.
    Search { host: SocketAddr, kind: String, query: String, limit: u32 },
    /// Fetch an entry.
    Fetch { host: SocketAddr, kind: String, key: String },
    /// File or reserve.
    Submit(SubmitArgs),
    /// Print a completion script.
    Completions(Shell),
}

impl Command {
    /// Checks the command line.
    pub fn from_flags(flags: Galenaloft) -> Result<Self, CommandError> {
        Ok(match flags.subcommand {
            GalenaloftCmd::Check(c) => Self::Check { sheet: c.sheet, against: c.against },
            GalenaloftCmd::Status(c) => {
                if c.hosts.is_empty() {
                    return Err(CommandError::NoHosts);
                }
                Self::Status { hosts: c.hosts, format: status_format(c.json, c.watch)? }
            }
            GalenaloftCmd::Explain(c) => Self::Explain { host: c.host, request: c.request },
            GalenaloftCmd::Logs(c) => Self::Logs { files: c.files, request: c.request },
            GalenaloftCmd::Drain(c) => Self::Drain { host: c.host },
            GalenaloftCmd::Search(c) => {
                let limit = c.limit.unwrap_or(0);
                Self::Search { host: c.host, kind: c.kind, query: c.query, limit }
            }
            GalenaloftCmd::Fetch(c) => Self::Fetch { host: c.host, kind: c.kind, key: c.key },
            GalenaloftCmd::File(c) => Self::Submit(SubmitArgs {
                host: c.host,
                path: FILE_PATH,
                kind: c.kind,
                key: c.key,
                body: c.body,
                ticket: c.ticket,
            }),
            GalenaloftCmd::Reserve(c) => Self::Submit(SubmitArgs {
                host: c.host,
                path: RESERVE_PATH,
                kind: c.kind,
                key: c.key,
                body: c.body,
                ticket: c.ticket,
            }),
            GalenaloftCmd::Completions(c) => Self::Completions(shell(c.shell)?),
        })
    }
}

fn status_format(json: bool, watch: bool) -> Result<StatusFormat, CommandError> {
    match (json, watch) {
        (false, false) => Ok(StatusFormat::Text),
        (true, false) => Ok(StatusFormat::Json),
        (false, true) => Ok(StatusFormat::Watch),
        (true, true) => Err(CommandError::JsonAndWatch),
    }
}

fn shell(name: String) -> Result<Shell, CommandError> {
    match name.as_str() {
        "bash" => Ok(Shell::Bash),
        "fish" => Ok(Shell::Fish),
        "zsh" => Ok(Shell::Zsh),
        _ => Err(CommandError::UnknownShell(name)),
    }
}
