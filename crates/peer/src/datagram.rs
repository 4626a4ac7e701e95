//! UDP datagrams between daemons.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;

use crate::error::{Error, Kind};
use crate::frame::{self, MAX_DATAGRAM_BYTES, PROTOCOL_VERSION};

/// A UDP socket that sends and receives postcard messages, one in each datagram.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Wraps a bound socket.
    pub fn new(socket: UdpSocket) -> Self {
        Self { socket }
    }

    /// Sends one message without confirmation of delivery and returns its length in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the message exceeds [`MAX_DATAGRAM_BYTES`] or the socket can't send it.
    pub async fn send<T: Serialize>(&self, to: SocketAddr, message: &T) -> Result<usize, Error> {
        let bytes =
            postcard::to_extend(message, vec![PROTOCOL_VERSION]).map_err(Kind::Malformed)?;
        let length_bytes = bytes.len();
        if length_bytes > MAX_DATAGRAM_BYTES {
            return Err(Kind::TooLong { length_bytes }.into());
        }
        self.socket.send_to(&bytes, to).await?;
        Ok(length_bytes)
    }

    /// Waits for the next message and returns it with the sender's address.
    ///
    /// # Errors
    ///
    /// Fails on a datagram that violates the protocol; the socket stays usable.
    pub async fn receive<T: DeserializeOwned>(&self) -> Result<(SocketAddr, T), Error> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length_bytes, from) = self.socket.recv_from(&mut buffer).await?;
        match buffer[..length_bytes] {
            [PROTOCOL_VERSION, ref body @ ..] if length_bytes <= MAX_DATAGRAM_BYTES => {
                Ok((from, frame::decode(body)?))
            }
            [PROTOCOL_VERSION, ..] => Err(Kind::TooLong { length_bytes }.into()),
            [version, ..] => Err(Kind::UnsupportedVersion { version }.into()),
            [] => Err(Kind::TooLong { length_bytes: 0 }.into()),
        }
    }
}
