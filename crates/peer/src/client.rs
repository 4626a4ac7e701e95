//! Client for requests to other daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::{Error, Kind};
use crate::frame;

const MAX_IDLE_PER_PEER: usize = 4;

/// Sends requests to other daemons over reused TCP connections.
///
/// A request that fails on a reused connection is sent again on a new one, so the peer may
/// receive it twice and has to treat every request as idempotent.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<TcpStream>>>>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    ///
    /// Fails if the request exceeds [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES), if no
    /// connection can be made, if the response does not arrive within `time_limit`, or if it
    /// violates the protocol.
    pub async fn call<Req, Resp>(
        &self,
        address: SocketAddr,
        request: &Req,
        time_limit: Duration,
    ) -> Result<Resp, Error>
    where
        Req: Serialize,
        Resp: DeserializeOwned,
    {
        let frame = frame::encode(request)?;
        timeout(time_limit, self.exchange(address, &frame))
            .await
            .map_err(|_| Kind::Timeout)?
    }

    /// Closes the idle connections to all addresses for which `is_kept` returns `false`.
    pub fn retain(&self, is_kept: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|&address, _| is_kept(address));
    }

    async fn exchange<Resp: DeserializeOwned>(
        &self,
        address: SocketAddr,
        frame: &[u8],
    ) -> Result<Resp, Error> {
        if let Some(mut stream) = self.take_idle(address)
            && let Ok(response) = round_trip(&mut stream, frame).await
        {
            self.return_idle(address, stream);
            return Ok(response);
        }
        let mut stream = TcpStream::connect(address).await.map_err(Kind::Connect)?;
        stream.set_nodelay(true)?;
        let response = round_trip(&mut stream, frame).await?;
        self.return_idle(address, stream);
        Ok(response)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }

    fn return_idle(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = idle.entry(address).or_default();
        if streams.len() < MAX_IDLE_PER_PEER {
            streams.push(stream);
        }
    }
}

async fn round_trip<Resp: DeserializeOwned>(
    stream: &mut TcpStream,
    frame: &[u8],
) -> Result<Resp, Error> {
    frame::write(stream, frame).await?;
    frame::read(stream).await
}
