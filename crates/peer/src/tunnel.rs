//! Connections to a third party through another daemon.
//!
//! Bytes to the third party are forwarded as they are. Bytes from it are sent in chunks, so that the
//! end of its connection can be told from the end of the daemon in between.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf, copy_buf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::close::ResetOnClose;

/// Largest chunk, and size of the buffer in each direction.
const MAX_CHUNK_BYTES: usize = 8 << 10;
const HEADER_BYTES: usize = 2;
/// Time for the other side to close its connection after the end of the third party's.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Forwards bytes between a daemon and a third party until either closes its connection.
///
/// If the daemon resets its connection, that to the third party is reset as well.
pub(crate) async fn forward(daemon: TcpStream, target: TcpStream) -> io::Result<()> {
    let (daemon_reader, mut daemon_writer) = daemon.into_split();
    let (target_reader, mut target_writer) = target.into_split();
    let mut daemon_reader = tokio::io::BufReader::with_capacity(MAX_CHUNK_BYTES, daemon_reader);
    tokio::select! {
        sent = copy_buf(&mut daemon_reader, &mut target_writer) => {
            if sent.is_err() {
                target_writer.as_ref().set_reset_on_close(true)?;
                // Dropped, it would end its direction in the orderly way first.
                target_writer.forget();
            }
            return sent.map(drop);
        }
        received = forward_chunks(target_reader, &mut daemon_writer) => received?,
    }
    // Closing with unread bytes would reset the connection, and discard what is on its way.
    let mut sink = tokio::io::sink();
    let drained = copy_buf(&mut daemon_reader, &mut sink);
    match timeout(CLOSE_TIMEOUT, drained).await {
        Ok(drained) => drained.map(drop),
        Err(_) => Ok(()),
    }
}

/// Sends what a third party sends in chunks; an empty one marks its orderly end.
async fn forward_chunks(mut from: OwnedReadHalf, to: &mut OwnedWriteHalf) -> io::Result<()> {
    let mut buffer = vec![0; HEADER_BYTES + MAX_CHUNK_BYTES];
    loop {
        let read_bytes = from.read(&mut buffer[HEADER_BYTES..]).await?;
        buffer[..HEADER_BYTES].copy_from_slice(&(read_bytes as u16).to_be_bytes());
        to.write_all(&buffer[..HEADER_BYTES + read_bytes]).await?;
        if read_bytes == 0 {
            return to.shutdown().await;
        }
    }
}

/// A connection to a third party through another daemon.
///
/// A read fails if the connection ends otherwise than by the third party's orderly close.
#[derive(Debug)]
pub struct TunnelStream {
    stream: TcpStream,
    state: ReadState,
}

#[derive(Debug, Clone, Copy)]
enum ReadState {
    Header {
        bytes: [u8; HEADER_BYTES],
        filled: usize,
    },
    Chunk {
        left_bytes: usize,
    },
    Ended,
}

impl ReadState {
    const NEXT_HEADER: Self = Self::Header {
        bytes: [0; HEADER_BYTES],
        filled: 0,
    };
}

impl TunnelStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            state: ReadState::NEXT_HEADER,
        }
    }
}

impl ResetOnClose for TunnelStream {
    fn set_reset_on_close(&self, is_reset: bool) -> io::Result<()> {
        self.stream.set_reset_on_close(is_reset)
    }
}

/// Reads into a slice; fails at the end of the stream.
fn poll_read_some(
    stream: &mut TcpStream,
    context: &mut Context<'_>,
    into: &mut [u8],
) -> Poll<io::Result<usize>> {
    let mut buffer = ReadBuf::new(into);
    ready!(Pin::new(stream).poll_read(context, &mut buffer))?;
    match buffer.filled().len() {
        0 => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
        read_bytes => Poll::Ready(Ok(read_bytes)),
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { stream, state } = &mut *self;
        loop {
            match state {
                ReadState::Header { bytes, filled } => {
                    *filled += ready!(poll_read_some(stream, context, &mut bytes[*filled..]))?;
                    *state = match usize::from(u16::from_be_bytes(*bytes)) {
                        _ if *filled < HEADER_BYTES => continue,
                        0 => ReadState::Ended,
                        left_bytes => ReadState::Chunk { left_bytes },
                    };
                }
                ReadState::Chunk { left_bytes } => {
                    let size = buffer.remaining().min(*left_bytes);
                    let into = buffer.initialize_unfilled_to(size);
                    let read_bytes = ready!(poll_read_some(stream, context, into))?;
                    buffer.advance(read_bytes);
                    *left_bytes -= read_bytes;
                    if *left_bytes == 0 {
                        *state = ReadState::NEXT_HEADER;
                    }
                    return Poll::Ready(Ok(()));
                }
                ReadState::Ended => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl AsyncWrite for TunnelStream {
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
}
