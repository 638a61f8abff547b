//! Checking a sheet before it is published.

use std::path::Path;

use galenaloft_config::reader::ConfigError;
use galenaloft_config::reader::read_file;
use galenaloft_config::sheet::Sheet;
use galenaloft_config::sheet::diff;

use crate::error::CommandError;

/// Checks a sheet and prints what would change against another one.
pub fn check(sheet: &Path, against: Option<&Path>) -> Result<(), CommandError> {
    let new = load(sheet)?;
    let (kinds, ranks) = (new.kinds.len(), new.ranks.len());
    println!(
        "{} is valid: customer {}, {kinds} kinds, {ranks} ranks.",
        sheet.display(),
        new.customer
    );
    let Some(against) = against else {
        return Ok(());
    };
    let changes = diff(&load(against)?, &new);
    if changes.is_empty() {
        println!("Nothing changes against {}.", against.display());
    }
    for change in changes {
        println!("  {change}");
    }
    Ok(())
}

fn load(path: &Path) -> Result<Sheet, ConfigError> {
    let file = path.display().to_string();
    Sheet::parse(&file, &read_file(path)?)
}
