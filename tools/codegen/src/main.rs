//! Regenerates the committed protobuf types of every protocol crate.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

use prost::Message;

/// A crate under `crates/` that contains generated message types.
struct ProtocolCrate {
    /// Folder of the crate under `crates/`.
    folder: &'static str,
    /// Name of its `.proto` file, and of the protobuf package `galenaloft.{proto}` in it.
    proto: &'static str,
    /// Whether its messages are also mapped to JSON.
    json: bool,
}

const PROTOCOL_CRATES: [ProtocolCrate; 4] = [
    ProtocolCrate { folder: "caller", proto: "caller", json: true },
    ProtocolCrate { folder: "searcher", proto: "searcher", json: false },
    ProtocolCrate { folder: "control-plane", proto: "platform", json: true },
    ProtocolCrate { folder: "operator", proto: "operator", json: true },
];

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
    for protocol in &PROTOCOL_CRATES {
        generate(protocol)?;
    }
    Ok(())
}

/// Writes the Rust types of one crate to its folder `src/generated`.
fn generate(protocol: &ProtocolCrate) -> Result<(), Box<dyn Error>> {
    let ProtocolCrate { folder, proto, json } = *protocol;
    let root = Path::new("crates").join(folder);
    let out = root.join("src/generated");
    fs::create_dir_all(&out)?;
    let file = format!("{proto}.proto");
    let descriptors = protox::compile([&file], [root.join("proto")])?;
    prost_build::Config::new().btree_map(["."]).out_dir(&out).compile_fds(descriptors.clone())?;
    if json {
        pbjson_build::Builder::new()
            .register_descriptors(&descriptors.encode_to_vec())?
            .out_dir(&out)
            .build(&[format!(".galenaloft.{proto}")])?;
    }
    Ok(())
}
