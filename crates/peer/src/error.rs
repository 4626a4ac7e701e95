//! Errors of the transport.

use std::io;

/// Why a message was not exchanged.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(#[from] Kind);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Kind {
    #[error("connecting to the peer failed: {0}")]
    Connect(io::Error),
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
    /// Whether the message certainly never reached the peer.
    pub fn is_connect(&self) -> bool {
        matches!(self.0, Kind::Connect(_))
    }

    /// Whether nothing listens at the peer's address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(&self.0, Kind::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Whether the peer took too long.
    pub fn is_timeout(&self) -> bool {
        matches!(self.0, Kind::Timeout)
    }

    /// Whether the bytes received break the protocol.
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
