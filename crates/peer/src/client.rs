//! Client for requests to other daemons.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::error::{Error, Kind};
use crate::frame;
use crate::tunnel::TunnelStream;

const MAX_IDLE_PER_PEER: usize = 4;
/// Time for which an idle connection is kept. A connection may deliver nothing any more without being
/// closed, and each such connection costs a call its time limit.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1_000);

/// A response, and whether its request was sent more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reply<Resp> {
    /// The response to the last copy of the request.
    pub response: Resp,
    /// Whether the peer may also have executed an earlier copy, whose response was lost.
    pub was_resent: bool,
}

/// Sends requests to other daemons over reused TCP connections.
///
/// A request that fails on a reused connection is sent again on a new one, so the peer may
/// receive it twice and has to treat every request as idempotent.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    expires_at: Instant,
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
        let reply = self.call_for_reply(address, request, time_limit).await?;
        Ok(reply.response)
    }

    /// As [`call`](Self::call); also returns whether the request was sent more than once.
    ///
    /// # Errors
    ///
    /// As [`call`](Self::call).
    pub async fn call_for_reply<Req, Resp>(
        &self,
        address: SocketAddr,
        request: &Req,
        time_limit: Duration,
    ) -> Result<Reply<Resp>, Error>
    where
        Req: Serialize,
        Resp: DeserializeOwned,
    {
        let frame = frame::encode(request)?;
        timeout(time_limit, self.exchange(address, &frame))
            .await
            .map_err(|_| Kind::Timeout)?
    }

    /// Sends a request on a new connection, and returns the response and that connection as one to a
    /// third party; the response tells whether it is.
    ///
    /// # Errors
    ///
    /// As [`call`](Self::call).
    pub async fn open_tunnel<Req, Resp>(
        &self,
        address: SocketAddr,
        request: &Req,
        time_limit: Duration,
    ) -> Result<(Resp, TunnelStream), Error>
    where
        Req: Serialize,
        Resp: DeserializeOwned,
    {
        let frame = frame::encode(request)?;
        let opened = async {
            let mut stream = connect(address).await.map_err(Kind::Connect)?;
            frame::write(&mut stream, &frame).await?;
            let response = frame::read(&mut stream).await?;
            Ok((response, TunnelStream::new(stream)))
        };
        timeout(time_limit, opened)
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
    ) -> Result<Reply<Resp>, Error> {
        let mut was_resent = false;
        // A frame that was not written completely is not executed.
        if let Some(mut stream) = self.take_idle(address)
            && frame::write(&mut stream, frame).await.is_ok()
        {
            if let Ok(response) = frame::read(&mut stream).await {
                self.return_idle(address, stream);
                return Ok(Reply {
                    response,
                    was_resent,
                });
            }
            was_resent = true;
        }
        let connected = connect(address).await;
        let mut stream = connected.map_err(|error| match was_resent {
            true => Kind::Reconnect(error),
            false => Kind::Connect(error),
        })?;
        frame::write(&mut stream, frame).await?;
        let response = frame::read(&mut stream).await?;
        self.return_idle(address, stream);
        Ok(Reply {
            response,
            was_resent,
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|idle| idle.expires_at > now);
        connections.pop().map(|idle| idle.stream)
    }

    fn return_idle(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_PEER {
            let expires_at = Instant::now() + MAX_IDLE_TIME;
            connections.push(IdleConnection { stream, expires_at });
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
