//! A proxy on loopback that harms the connections through it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Bytes that are passed on at a time.
const CHUNK: usize = 16 * 1024;

/// What a proxy does with its connections, open and new ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Passes everything on.
    None,
    /// Holds everything back for a while, both ways.
    Delay(Duration),
    /// Resets open connections and each new one.
    Reset,
    /// Passes on nothing to the server.
    CutToServer,
    /// Passes on nothing to the client.
    CutToClient,
    /// Passes on nothing, for good on connections that are open now.
    Silent,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Where clients connect.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    harm: watch::Sender<Harm>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    ToServer,
    ToClient,
}

impl Proxy {
    /// Starts a proxy on a free port; it refuses connections until it has a target.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(None));
        let harm = watch::channel(Harm::None).0;
        tokio::spawn(accept(listener, target.clone(), harm.subscribe()));
        Ok(Self { address, target, harm })
    }

    /// Sets where connections lead.
    pub fn lead_to(&self, server: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(server);
    }

    /// Changes what happens to connections.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<Mutex<Option<SocketAddr>>>,
    harm: watch::Receiver<Harm>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let server = *target.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(server) = server else {
            continue;
        };
        tokio::spawn(connect(client, server, harm.clone()));
    }
}

async fn connect(client: TcpStream, server: SocketAddr, harm: watch::Receiver<Harm>) {
    // A connection that cannot be made or breaks is closed on the other side too, as without the
    // proxy.
    if *harm.borrow() == Harm::Reset {
        let _ = client.set_zero_linger();
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let there = pass(from_client, to_server, harm.clone(), Way::ToServer);
    let back = pass(from_server, to_client, harm.clone(), Way::ToClient);
    let mut changes = harm;
    let reset = async {
        let wanted = |harm: &Harm| *harm == Harm::Reset;
        if changes.wait_for(wanted).await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = there => {}
        () = back => {}
        () = reset => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    harm: watch::Receiver<Harm>,
    way: Way,
) {
    let mut buf = vec![0; CHUNK];
    loop {
        let count = match from.read(&mut buf).await {
            Ok(count) if count > 0 => count,
            Ok(_) | Err(_) => return,
        };
        let harm = *harm.borrow();
        match (harm, way) {
            (Harm::None | Harm::Reset, _)
            | (Harm::CutToServer, Way::ToClient)
            | (Harm::CutToClient, Way::ToServer) => {}
            (Harm::Delay(time), _) => tokio::time::sleep(time).await,
            // The connection stays open and nothing of it arrives any more.
            (Harm::CutToServer, Way::ToServer)
            | (Harm::CutToClient, Way::ToClient)
            | (Harm::Silent, _) => std::future::pending().await,
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
