//! A caller's connection whose reads and writes are watched.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::budget::Connection;

/// Time without progress after which a response that its caller does not read ends. It is shorter than
/// the longest deadlines of callers (15 s), and longer than a pause of a caller's process.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Most bytes of one read of a body. The HTTP library doubles its read buffer, up to the size of the
/// largest head, after a read that fills it, which is 8 KiB at first.
const PIECE: usize = 8 * 1024 - 1;

/// A response that waits for its caller to read.
#[derive(Debug)]
struct Unread {
    timer: Pin<Box<Sleep>>,
    /// Bytes written since it began to wait.
    written: usize,
}

/// A caller's TCP stream.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    unread: Option<Unread>,
}

impl CallerStream {
    /// Watches a stream.
    pub(crate) fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self { stream, connection, unread: None }
    }

    fn after_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match (&result, &mut self.unread) {
            (Poll::Pending, Some(_)) => {}
            (Poll::Pending, None) => {
                self.connection.stall_response();
                self.unread = Some(Unread { timer: Box::pin(sleep(UNREAD_TIMEOUT)), written: 0 });
            }
            (Poll::Ready(Ok(written)), Some(unread)) => {
                unread.written += written;
                unread.timer.as_mut().reset(Instant::now() + UNREAD_TIMEOUT);
                self.connection.record_response_progress(unread.written);
                return result;
            }
            (Poll::Ready(_), _) => return result,
        }
        if let Some(unread) = &mut self.unread {
            ready!(unread.timer.as_mut().poll(cx));
        }
        self.connection.budget().record_closed("response_unread");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        if buf.remaining() > PIECE && this.connection.is_request_in_progress() {
            let mut bytes = [0; PIECE];
            let mut piece = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut piece))?;
            buf.put_slice(piece.filled());
        } else {
            ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        }
        Poll::Ready(this.connection.record_read(buf.filled().len() - before))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.after_write(cx, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.after_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // The HTTP library flushes once all of a response was written.
        if this.unread.take().is_some() {
            this.connection.end_response();
        }
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        // Otherwise the kernel would keep what the caller does not read.
        if self.unread.is_some()
            && SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).is_err()
        {
            self.connection.budget().record_closed("linger_not_set");
        }
    }
}
