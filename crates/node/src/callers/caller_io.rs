//! Byte stream of a caller's connection that records activity and ends when nothing is read from it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};
use wisteriapoint_intake::Connection;

use crate::clock::Clock;

/// Byte stream of a caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    connection: Rc<Connection>,
    clock: Clock,
    /// Longest time for which nothing of an answer can be sent.
    write_timeout: Duration,
    /// Runs while nothing can be sent.
    blocked: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Creates a stream that fails after `write_timeout` in which the caller reads nothing.
    pub fn new(
        stream: TcpStream,
        connection: Rc<Connection>,
        clock: Clock,
        write_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            connection,
            clock,
            write_timeout,
            blocked: None,
        }
    }

    fn finish_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.blocked = None;
            self.connection.record_activity(self.clock.now_ms());
            return written;
        }
        let timeout = self.write_timeout;
        let blocked = self.blocked.get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(blocked.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_ready() {
            self.connection.record_activity(self.clock.now_ms());
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, data);
        self.finish_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.finish_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
