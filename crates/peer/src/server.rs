//! Server for requests of other daemons.

use std::future::Future;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};

use crate::error::Error;
use crate::frame;

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
    F: Future<Output = Resp>,
{
    stream.set_nodelay(true)?;
    loop {
        let request = frame::read(&mut stream).await?;
        let response = handler(request).await;
        let frame = frame::encode(&response)?;
        frame::write(&mut stream, &frame).await?;
    }
}
