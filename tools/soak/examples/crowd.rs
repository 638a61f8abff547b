//! Measures the resident memory of an edge host under a crowd of hostile callers:
//! `crowd BINARY CALLERS MEMORY_MB`. A memory of 0 leaves the setting out.

use std::error::Error;
use std::time::Duration;

use galenaloft_platform_standin::scene::FILE_PATH;
use galenaloft_platform_standin::scene::HOST;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::SINGLE;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::scene::configuration_with;
use galenaloft_soak::crowd::Crowd;
use galenaloft_soak::crowd::Load;
use galenaloft_soak::crowd::open_descriptors;
use galenaloft_soak::crowd::peak_resident_kb;
use galenaloft_soak::edge::Edge;
use galenaloft_soak::edge::Spec;
use tokio::time::sleep;

/// Size of a body, in bytes.
const BODY: usize = 262_144;

/// Time after the crowd has sent everything, in which the host reads it.
const READ_TIME: Duration = Duration::from_secs(4);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().collect();
    let [_, binary, callers, memory] = &args[..] else {
        return Err("usage: crowd BINARY CALLERS MEMORY_MB".into());
    };
    let (callers, memory): (usize, u32) = (callers.parse()?, memory.parse()?);
    let loads = [
        Load::Declared { length: BODY, piece: BODY },
        Load::Declared { length: BODY, piece: 8 * 1024 },
        Load::Chunked { length: BODY, chunk: 32 * 1024 },
        Load::Chunked { length: 60_000, chunk: 1 },
    ];
    let head = format!(
        "POST {FILE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: c0\r\nDeadline-Ms: 2000\r\n"
    );
    for load in loads {
        let platform = Scene::start(&Layout::default()).await?;
        let mut config = configuration_with(platform.shards.len(), 2, SINGLE);
        config["limits"]["max_body_bytes"] = BODY.into();
        platform.configure(&config);
        let extra_settings = match memory {
            0 => String::new(),
            memory => format!("memory-mb: {memory}\n"),
        };
        let edge = Edge::start(&Spec {
            binary: binary.into(),
            zone: "a".to_owned(),
            number: 1,
            port: 28_480,
            store: platform.store_address,
            log: None,
            extra_settings,
        })?;
        while !edge.is_ready().await {
            sleep(Duration::from_millis(50)).await;
        }
        let pid = edge.id().ok_or("the host ended")?;
        let idle = peak_resident_kb(pid)?;
        let crowd = Crowd::send(edge.callers, callers, &head, load).await;
        sleep(READ_TIME).await;
        let (peak, descriptors) = (peak_resident_kb(pid)?, open_descriptors(pid)?);
        println!("{load:?}: idle {idle} KB, peak {peak} KB, {descriptors} descriptors");
        drop(crowd);
    }
    Ok(())
}
