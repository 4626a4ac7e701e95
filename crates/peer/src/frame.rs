//! Frames on a TCP connection: protocol version, body length, postcard body.

use std::io::{self, ErrorKind};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::error::{Error, Kind};

/// Version of the protocol between daemons, the first byte of every frame and datagram.
pub const PROTOCOL_VERSION: u8 = 1;

/// Largest body of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Largest datagram including its version byte, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

const HEADER_BYTES: usize = 5;

pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let mut bytes = vec![PROTOCOL_VERSION, 0, 0, 0, 0];
    bytes = postcard::to_extend(message, bytes).map_err(Kind::Malformed)?;
    let length_bytes = bytes.len() - HEADER_BYTES;
    if length_bytes > MAX_FRAME_BYTES {
        return Err(Kind::TooLong { length_bytes }.into());
    }
    bytes[1..HEADER_BYTES].copy_from_slice(&(length_bytes as u32).to_le_bytes());
    Ok(bytes)
}

pub(crate) async fn write<W: AsyncWrite + Unpin>(
    stream: &mut W,
    frame: &[u8],
) -> Result<(), Error> {
    stream.write_all(frame).await?;
    stream.flush().await?;
    Ok(())
}

pub(crate) async fn read<R, T>(stream: &mut R) -> Result<T, Error>
where
    R: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let [version, length @ ..] = header;
    let length_bytes = u32::from_le_bytes(length) as usize;
    match version {
        PROTOCOL_VERSION if length_bytes <= MAX_FRAME_BYTES => {}
        PROTOCOL_VERSION => return Err(Kind::TooLong { length_bytes }.into()),
        _ => return Err(Kind::UnsupportedVersion { version }.into()),
    }
    let mut body = Vec::new();
    let mut limited = stream.take(length_bytes as u64);
    limited.read_to_end(&mut body).await?;
    match body.len() {
        received if received < length_bytes => {
            Err(io::Error::from(ErrorKind::UnexpectedEof).into())
        }
        _ => decode(&body),
    }
}

/// Decodes a message and fails if bytes follow it.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let (message, trailing) = postcard::take_from_bytes(bytes).map_err(Kind::Malformed)?;
    match trailing.len() {
        0 => Ok(message),
        count => Err(Kind::TrailingBytes { count }.into()),
    }
}
