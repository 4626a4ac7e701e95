//! Server for requests of other daemons.

use std::future::Future;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;

use crate::error::Error;
use crate::{frame, tunnel};

/// What a daemon does after a request.
#[derive(Debug)]
pub enum Answer<Resp> {
    /// Responds, and waits for the next request.
    Response(Resp),
    /// Responds, and forwards bytes between the requester and a third party from then on.
    Tunnel {
        /// The response.
        response: Resp,
        /// Connection to the third party.
        target: TcpStream,
        /// Held as long as the tunnel exists.
        permit: OwnedSemaphorePermit,
    },
}

/// Accepts connections and responds to every request with the result of `handler`, until the
/// task is dropped.
///
/// A connection that violates the protocol is closed; other connections are not affected.
pub async fn serve<Req, Resp, H, F>(listener: TcpListener, handler: H)
where
    Req: DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + Sync + 'static,
    H: Fn(Req) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Resp> + Send + 'static,
{
    let handler = move |request| {
        let response = handler(request);
        async move { Answer::Response(response.await) }
    };
    serve_with_tunnels(listener, handler).await;
}

/// As [`serve`], for a handler that may also connect the requester to a third party.
pub async fn serve_with_tunnels<Req, Resp, H, F>(listener: TcpListener, handler: H)
where
    Req: DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + Sync + 'static,
    H: Fn(Req) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer<Resp>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, handler).await {
                log::trace!("peer connection ended: {error}");
            }
        });
    }
}

const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(10);

async fn serve_connection<Req, Resp, H, F>(mut stream: TcpStream, handler: H) -> Result<(), Error>
where
    Req: DeserializeOwned,
    Resp: Serialize,
    H: Fn(Req) -> F,
    F: Future<Output = Answer<Resp>>,
{
    stream.set_nodelay(true)?;
    loop {
        let request = frame::read(&mut stream).await?;
        let (response, tunnel) = match handler(request).await {
            Answer::Response(response) => (response, None),
            Answer::Tunnel {
                response,
                target,
                permit,
            } => (response, Some((target, permit))),
        };
        let frame = frame::encode(&response)?;
        frame::write(&mut stream, &frame).await?;
        if let Some((target, _permit)) = tunnel {
            return Ok(tunnel::forward(stream, target).await?);
        }
    }
}
