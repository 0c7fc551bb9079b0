//! A TCP stream that can be observed while an HTTP connection owns it.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

use super::client_limits::ClientConnection;

/// The maximum number of bytes that are read at a time.
const READ_BYTES_MAX: usize = 16_384;

/// The number of bytes that are discarded at a time.
const DISCARD_BUFFER_BYTES: usize = 16_384;

/// A TCP stream whose clones use the same socket. What is read is charged to the memory budget.
///
/// The clones of a stream may be read, written and observed by one task at a time.
#[derive(Debug, Clone)]
pub(super) struct SharedStream(Arc<Inner>);

// The socket is closed before its place in the budget is free.
#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    client: ClientConnection,
}

impl SharedStream {
    /// Creates the first owner of a stream.
    pub(super) fn new(stream: TcpStream, client: ClientConnection) -> Self {
        Self(Arc::new(Inner { stream, client }))
    }

    /// Waits until the peer has closed or reset the connection, or at least its direction to this
    /// process. Data that was received before and is not read yet does not delay this.
    pub(super) async fn read_closed(&self) {
        // Readable interest would be met by unread data all the time. Priority interest also covers
        // the end of the stream, and the socket is not registered for priority data itself.
        while let Ok(ready) = self.0.stream.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
        }
    }

    /// Closes the direction to the peer, and discards what the peer still sends until it closes the
    /// other direction. Nothing is charged to the memory budget.
    ///
    /// # Errors
    ///
    /// Fails if the connection is reset, or if the peer sends more than `bytes_max` bytes.
    pub(super) async fn discard(&self, bytes_max: usize) -> io::Result<()> {
        let stream = &self.0.stream;
        // Fails if the connection has ended, which reading shows.
        let _ = SockRef::from(stream).shutdown(Shutdown::Write);
        let mut discarded_bytes = 0;
        while discarded_bytes <= bytes_max {
            stream.readable().await?;
            match stream.try_read(&mut [0; DISCARD_BUFFER_BYTES]) {
                Ok(0) => return Ok(()),
                Ok(read_bytes) => discarded_bytes += read_bytes,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::Error::other(
            "the peer sends too much after its response",
        ))
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(context))?;
            let bytes_max = buffer.remaining().min(READ_BYTES_MAX);
            let unfilled = buffer.initialize_unfilled_to(bytes_max);
            match self.0.stream.try_read(unfilled) {
                Ok(read_bytes) => {
                    if !self.0.client.receive(read_bytes) {
                        let error = io::Error::other("the client exceeds its share of memory");
                        return Poll::Ready(Err(error));
                    }
                    buffer.advance(read_bytes);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A TCP stream has no write buffer in this process.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}

impl SharedStream {
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(context))?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}
