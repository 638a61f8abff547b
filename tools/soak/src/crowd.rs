//! Many hostile callers at a time: bodies and heads that never end, and answers that are never read.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Longest wait until one write makes progress. A server may stop reading.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Receive buffer of a caller that does not read answers, in bytes. The kernel keeps little of an
/// answer then.
const UNREAD_BUFFER: u32 = 4 * 1024;

/// Requests that a caller of [`Load::Unread`] sends without reading an answer.
const PIPELINED: usize = 200;

/// What each caller of a crowd sends on its connection, which it keeps open afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// A body with a declared length that stops one byte short, written in pieces of so many bytes.
    Declared {
        /// Declared length.
        length: usize,
        /// Bytes of a write.
        piece: usize,
    },
    /// A chunked body that stops before its last chunk.
    Chunked {
        /// Bytes in all chunks.
        length: usize,
        /// Bytes of a chunk.
        chunk: usize,
    },
    /// A head of so many bytes that does not end.
    Head(usize),
    /// Whole requests, none of whose answers is read.
    Unread,
}

/// Connections that stay open until the crowd is dropped.
#[derive(Debug)]
pub struct Crowd {
    /// Connections on which everything was sent, or as much as the server took.
    pub connections: Vec<TcpStream>,
}

impl Crowd {
    /// Lets `count` callers send `load` at the same time. `head` is a request line with headers and
    /// without the empty line. Errors of single callers are ignored: the server may refuse them.
    pub async fn send(address: SocketAddr, count: usize, head: &str, load: Load) -> Self {
        let mut callers = JoinSet::new();
        for _ in 0..count {
            let head = head.to_owned();
            callers.spawn(async move { send_one(address, &head, load).await });
        }
        let connections = callers.join_all().await.into_iter().filter_map(Result::ok).collect();
        Self { connections }
    }
}

async fn send_one(address: SocketAddr, head: &str, load: Load) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if load == Load::Unread {
        socket.set_recv_buffer_size(UNREAD_BUFFER)?;
    }
    let mut stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    // A refused caller keeps its connection open as well.
    let _ = write_load(&mut stream, head, load).await;
    Ok(stream)
}

async fn write_load(stream: &mut TcpStream, head: &str, load: Load) -> io::Result<()> {
    match load {
        Load::Declared { length, piece } => {
            write(stream, format!("{head}Content-Length: {length}\r\n\r\n").as_bytes()).await?;
            for sent in (0..length - 1).step_by(piece) {
                write(stream, &vec![b'x'; piece.min(length - 1 - sent)]).await?;
            }
        }
        Load::Chunked { length, chunk } => {
            write(stream, format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).await?;
            let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
            let per_write = (32 * 1024 / chunk).max(1);
            for sent in (0..length / chunk).step_by(per_write) {
                let chunks = per_write.min(length / chunk - sent);
                write(stream, one.repeat(chunks).as_bytes()).await?;
            }
        }
        Load::Head(length) => {
            write(stream, head.as_bytes()).await?;
            write(stream, b"X-Filler: ").await?;
            for _ in 0..length / 1024 {
                write(stream, &[b'x'; 1024]).await?;
            }
        }
        Load::Unread => {
            for _ in 0..PIPELINED {
                write(stream, format!("{head}\r\n").as_bytes()).await?;
            }
        }
    }
    Ok(())
}

/// Writes all bytes, and fails when the server takes none of them for a while.
async fn write(stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(WRITE_TIMEOUT, stream.write(bytes)).await??;
        bytes = &bytes[written..];
    }
    Ok(())
}

/// Returns the greatest resident memory that a process has had, in KB.
pub fn peak_resident_kb(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let value = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = value.and_then(|value| value.trim().trim_end_matches(" kB").parse().ok());
    number.ok_or_else(|| io::Error::other("the status of the process has no VmHWM"))
}

/// Returns the number of descriptors that a process has open.
pub fn open_descriptors(pid: u32) -> io::Result<usize> {
    Ok(fs::read_dir(format!("/proc/{pid}/fd"))?.count())
}
