//! Connection to an endpoint that bounds what the endpoint sends before the body of a response.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes from the begin of a request to the head of its response: interim responses, the head,
/// and what arrives of the body together with it.
const MAX_BYTES_BEFORE_BODY: usize = 256 << 10;

/// Bytes that a connection may still receive before the body of a response.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadAllowance {
    /// `None` while a body may be received, which its reader bounds.
    left_bytes: Rc<Cell<Option<usize>>>,
}

impl HeadAllowance {
    /// Begins to count for a new request.
    pub(super) fn begin(&self) {
        self.left_bytes.set(Some(MAX_BYTES_BEFORE_BODY));
    }

    /// Stops counting, since the head of the response has been received.
    pub(super) fn end(&self) {
        self.left_bytes.set(None);
    }

    fn try_consume(&self, bytes: usize) -> io::Result<()> {
        let Some(left_bytes) = self.left_bytes.get() else {
            return Ok(());
        };
        let left_bytes = left_bytes
            .checked_sub(bytes)
            .ok_or_else(|| io::Error::other("too many bytes before the body of a response"))?;
        self.left_bytes.set(Some(left_bytes));
        Ok(())
    }
}

/// TCP stream that fails when the endpoint exceeds the allowance.
#[derive(Debug)]
pub(super) struct EndpointStream {
    stream: TcpStream,
    allowance: HeadAllowance,
}

impl EndpointStream {
    pub(super) fn new(stream: TcpStream, allowance: HeadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read_bytes = buffer.filled().len() - filled_bytes;
        Poll::Ready(self.allowance.try_consume(read_bytes))
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
