//! Answers to other daemons.

use std::future::Future;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};

use crate::error::Error;
use crate::frame;

/// Answers every message that arrives at a listener, until the task is dropped.
///
/// A connection that breaks the protocol is closed; the others go on.
pub async fn serve<Q, A, H, F>(listener: TcpListener, handler: H)
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + Sync + 'static,
    H: Fn(Q) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = A> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Err(error) = answer_all(stream, handler).await {
                log::trace!("peer connection ended: {error}");
            }
        });
    }
}

const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(10);

async fn answer_all<Q, A, H, F>(mut stream: TcpStream, handler: H) -> Result<(), Error>
where
    Q: DeserializeOwned,
    A: Serialize,
    H: Fn(Q) -> F,
    F: Future<Output = A>,
{
    stream.set_nodelay(true)?;
    loop {
        let question = frame::read(&mut stream).await?;
        let answer = handler(question).await;
        let frame = frame::encode(&answer)?;
        frame::write(&mut stream, &frame).await?;
    }
}
