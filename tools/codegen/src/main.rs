//! Regenerates the committed protobuf types of every border package.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

use prost::Message;

/// Border packages, and whether their messages are also mapped to JSON.
const BORDERS: [(&str, bool); 4] =
    [("caller", true), ("searcher", false), ("platform", true), ("operator", true)];

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("galenaloft-codegen: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    for (border, json) in BORDERS {
        generate(border, json)?;
    }
    Ok(())
}

fn generate(border: &str, json: bool) -> Result<(), Box<dyn Error>> {
    let root = Path::new("crates").join(border);
    let out = root.join("src/generated");
    fs::create_dir_all(&out)?;
    let file = format!("{border}.proto");
    let descriptors = protox::compile([&file], [root.join("proto")])?;
    prost_build::Config::new().btree_map(["."]).out_dir(&out).compile_fds(descriptors.clone())?;
    if json {
        pbjson_build::Builder::new()
            .register_descriptors(&descriptors.encode_to_vec())?
            .out_dir(&out)
            .build(&[format!(".galenaloft.{border}")])?;
    }
    Ok(())
}
