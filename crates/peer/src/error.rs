//! Errors of the transport.

use std::io;

/// An error that occurred while a message was sent or received.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(#[from] Kind);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Kind {
    #[error("connecting to the peer failed: {0}")]
    Connect(io::Error),
    #[error("connecting again failed after the connection to the peer broke: {0}")]
    Reconnect(io::Error),
    #[error("the connection to the peer failed: {0}")]
    Io(#[from] io::Error),
    #[error("the peer did not answer in time")]
    Timeout,
    #[error("a message of {length_bytes} bytes exceeds the bound")]
    TooLong { length_bytes: usize },
    #[error("the peer speaks protocol version {version}")]
    UnsupportedVersion { version: u8 },
    #[error("a message is malformed: {count} bytes follow it")]
    TrailingBytes { count: usize },
    #[error("a message is malformed: {0}")]
    Malformed(#[from] postcard::Error),
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self(Kind::Io(error))
    }
}

impl Error {
    /// Returns `true` if the message was sent on no connection, so it did not reach the peer.
    pub fn is_connect(&self) -> bool {
        matches!(self.0, Kind::Connect(_))
    }

    /// Returns `true` if the peer's host refused the connection: no process listens there.
    pub fn is_connection_refused(&self) -> bool {
        let (Kind::Connect(error) | Kind::Reconnect(error)) = &self.0 else {
            return false;
        };
        error.kind() == io::ErrorKind::ConnectionRefused
    }

    /// Returns `true` if the response did not arrive within the time limit.
    pub fn is_timeout(&self) -> bool {
        matches!(self.0, Kind::Timeout)
    }

    /// Returns `true` if the peer closed the connection without a response, as it does after a message that
    /// it can't decode.
    pub fn is_closed(&self) -> bool {
        matches!(&self.0, Kind::Io(error) if error.kind() == io::ErrorKind::UnexpectedEof)
    }

    /// Returns `true` if a message violates the protocol or exceeds its size limit.
    pub fn is_malformed(&self) -> bool {
        matches!(
            self.0,
            Kind::Malformed(_)
                | Kind::TrailingBytes { .. }
                | Kind::TooLong { .. }
                | Kind::UnsupportedVersion { .. }
        )
    }
}
