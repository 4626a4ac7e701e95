//! Connection to an endpoint that bounds what the endpoint sends before the body of a response.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;
use wisteriapoint_peer::{ResetOnClose, SharedStream, TunnelStream};

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

/// Connection to an endpoint.
#[derive(Debug)]
pub(super) enum Link {
    /// Of this node itself.
    Direct(TcpStream),
    /// Through another node.
    Relayed(TunnelStream),
}

impl ResetOnClose for Link {
    fn set_reset_on_close(&self, is_reset: bool) -> io::Result<()> {
        match self {
            Self::Direct(stream) => stream.set_reset_on_close(is_reset),
            Self::Relayed(stream) => stream.set_reset_on_close(is_reset),
        }
    }
}

/// Time at which a connection last received bytes.
#[derive(Debug, Clone)]
pub(super) struct Activity(Rc<Cell<Instant>>);

impl Activity {
    pub(super) fn new() -> Self {
        Self(Rc::new(Cell::new(Instant::now())))
    }

    /// Restarts the time, since a request is sent.
    pub(super) fn restart(&self) {
        self.0.set(Instant::now());
    }

    /// Returns the time of the last bytes, or of the last request after them.
    pub(super) fn last_at(&self) -> Instant {
        self.0.get()
    }
}

/// Connection that fails when the endpoint exceeds the allowance.
#[derive(Debug)]
pub(super) struct EndpointStream {
    link: SharedStream<Link>,
    allowance: HeadAllowance,
    activity: Activity,
}

impl EndpointStream {
    pub(super) fn new(
        link: SharedStream<Link>,
        allowance: HeadAllowance,
        activity: Activity,
    ) -> Self {
        Self {
            link,
            allowance,
            activity,
        }
    }
}

impl AsyncRead for Link {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Relayed(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write(context, data),
            Self::Relayed(stream) => Pin::new(stream).poll_write(context, data),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_flush(context),
            Self::Relayed(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Relayed(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write_vectored(context, data),
            Self::Relayed(stream) => Pin::new(stream).poll_write_vectored(context, data),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Direct(stream) => stream.is_write_vectored(),
            Self::Relayed(stream) => stream.is_write_vectored(),
        }
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        ready!(Pin::new(&mut self.link).poll_read(context, buffer))?;
        let read_bytes = buffer.filled().len() - filled_bytes;
        if read_bytes > 0 {
            self.activity.restart();
        }
        Poll::Ready(self.allowance.try_consume(read_bytes))
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.link).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.link).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.link).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.link).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.link.is_write_vectored()
    }
}
