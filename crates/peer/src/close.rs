//! How a connection is closed while an exchange on it is not complete.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use rustix::net::sockopt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection that can be closed by a reset.
///
/// After an orderly close, the kernel goes on to send what the other side has not received, even if the
/// process has ended. A reset discards it.
pub trait ResetOnClose {
    /// Sets whether the connection is reset when it is closed, also by the end of the process.
    ///
    /// # Errors
    ///
    /// Fails if the option can't be set.
    fn set_reset_on_close(&self, is_reset: bool) -> io::Result<()>;
}

impl ResetOnClose for TcpStream {
    fn set_reset_on_close(&self, is_reset: bool) -> io::Result<()> {
        Ok(sockopt::set_socket_linger(
            self,
            is_reset.then_some(Duration::ZERO),
        )?)
    }
}

/// A connection that another task reads and writes while an [`ExchangeMark`] sets how it is closed.
#[derive(Debug)]
pub struct SharedStream<S>(Rc<RefCell<S>>);

impl<S> SharedStream<S> {
    /// Creates a shared stream of a connection.
    pub fn new(stream: S) -> Self {
        Self(Rc::new(RefCell::new(stream)))
    }

    /// Returns a mark of the exchanges on the connection, which does not keep it open.
    pub fn mark(&self) -> ExchangeMark<S> {
        ExchangeMark(Rc::downgrade(&self.0))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for SharedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for SharedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(context, data)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }
}

/// Marks the begin and the end of each exchange on a connection.
///
/// A connection that is closed during an exchange is reset, so that the other side receives nothing of a
/// request after its sender has given it up. One that is idle closes in an orderly way.
#[derive(Debug)]
pub struct ExchangeMark<S>(Weak<RefCell<S>>);

impl<S: ResetOnClose> ExchangeMark<S> {
    /// Marks that a request is sent.
    ///
    /// # Errors
    ///
    /// Fails if the connection could not be reset.
    pub fn begin(&self) -> io::Result<()> {
        self.set(true)
    }

    /// Marks that the response was read in full.
    ///
    /// # Errors
    ///
    /// Fails if the connection would be reset after all.
    pub fn end(&self) -> io::Result<()> {
        self.set(false)
    }

    fn set(&self, is_reset: bool) -> io::Result<()> {
        match self.0.upgrade() {
            Some(stream) => stream.borrow().set_reset_on_close(is_reset),
            // The connection has failed, which its user learns otherwise.
            None => Ok(()),
        }
    }
}
