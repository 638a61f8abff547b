//! Plays seeds of the fault soak.

mod cli;

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;
use std::time::SystemTime;

use galenaloft_soak::run::Size;
use galenaloft_soak::run::run;

/// Most hosts: each has an address of its own on loopback.
const MAX_HOSTS: usize = 200;

#[tokio::main]
async fn main() -> ExitCode {
    match play().await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            eprintln!("galenaloft-soak: {failed} seeds failed");
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("galenaloft-soak: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Returns how many seeds failed.
async fn play() -> Result<u32, Box<dyn Error>> {
    let flags = cli::GalenaloftSoak::from_env_or_exit();
    let drawn = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_secs();
    let first = flags.seed.unwrap_or(drawn);
    let hosts = flags.hosts.unwrap_or(6);
    if !(1..=MAX_HOSTS).contains(&hosts) {
        return Err(format!("`--hosts` is {hosts}; give a number from 1 to {MAX_HOSTS}").into());
    }
    let binary = match flags.edge {
        Some(binary) => binary,
        None => std::env::current_exe()?.with_file_name("galenaloft-edge"),
    };
    let time = Duration::from_secs(flags.seconds.unwrap_or(12));
    let mut failed = 0;
    for seed in first..first + flags.count.unwrap_or(1) {
        let size = Size {
            binary: binary.clone(),
            hosts,
            shards: flags.shards.unwrap_or(10),
            port: flags.port.unwrap_or(30_000),
            logs: flags.logs.clone(),
        };
        let report = run(seed, size, time).await?;
        failed += u32::from(!report.broken.is_empty());
        println!(
            "seed={seed} requests={} served={} actions={} broken={}",
            report.requests,
            report.served,
            report.actions,
            report.broken.len()
        );
        for broken in report.broken {
            println!("seed={seed} broken: {broken}");
        }
    }
    Ok(failed)
}
