//! Callers that exceed the limits together, each on a connection of its own that stays open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::process::request_head;

/// Longest time for which a member tries to send; a node that refuses it may read nothing.
const SEND_TIMEOUT: Duration = Duration::from_secs(8);

/// What one caller of a crowd sends before it waits.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Member {
    /// A body with `Content-Length`, in writes of `piece_bytes`.
    Announced {
        announced_bytes: usize,
        sent_bytes: usize,
        piece_bytes: usize,
    },
    /// A chunked body, whose last chunk is sent only if it `ends`.
    Chunked {
        sent_bytes: usize,
        chunk_bytes: usize,
        ends: bool,
    },
    /// A head without its end.
    Head { sent_bytes: usize },
    /// Nothing.
    Silent,
    /// Pipelined requests whose answers are not read.
    NeverReads { requests: usize },
}

impl Member {
    async fn send(self, stream: &mut TcpStream, number: usize) -> std::io::Result<()> {
        let head = |framing: &str| request_head(&format!("crowd-{number}"), framing);
        match self {
            Self::Announced {
                announced_bytes,
                sent_bytes,
                piece_bytes,
            } => {
                let head = head(&format!("content-length: {announced_bytes}"));
                stream.write_all(head.as_bytes()).await?;
                let piece = vec![b'a'; piece_bytes.min(sent_bytes)];
                let mut left = sent_bytes;
                while left > 0 {
                    let next = left.min(piece.len());
                    stream.write_all(&piece[..next]).await?;
                    left -= next;
                }
                Ok(())
            }
            Self::Chunked {
                sent_bytes,
                chunk_bytes,
                ends,
            } => {
                let head = head("transfer-encoding: chunked");
                stream.write_all(head.as_bytes()).await?;
                let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
                chunk.resize(chunk.len() + chunk_bytes, b'a');
                chunk.extend_from_slice(b"\r\n");
                // Small chunks are sent many to a write, or the crowd would take minutes.
                let chunks_per_write = (8_192 / chunk_bytes).max(1);
                let batch = chunk.repeat(chunks_per_write);
                for _ in 0..(sent_bytes / chunk_bytes / chunks_per_write).max(1) {
                    stream.write_all(&batch).await?;
                }
                match ends {
                    true => stream.write_all(b"0\r\n\r\n").await,
                    false => Ok(()),
                }
            }
            Self::Head { sent_bytes } => {
                let head = head("content-length: 0");
                stream.write_all(head.trim_end().as_bytes()).await?;
                let filler = "a".repeat(sent_bytes.saturating_sub(head.len()));
                let line = format!("\r\nfiller: {filler}");
                stream.write_all(line.as_bytes()).await
            }
            Self::Silent => Ok(()),
            Self::NeverReads { requests } => {
                let head = head("content-length: 2000");
                let request = format!("{head}{}", "a".repeat(2_000));
                for _ in 0..requests {
                    stream.write_all(request.as_bytes()).await?;
                }
                Ok(())
            }
        }
    }
}

/// Callers whose connections stay open until they leave.
pub(crate) struct Crowd {
    members: JoinSet<()>,
    count: u32,
    has_sent: Arc<Semaphore>,
}

impl Crowd {
    /// Connects all members and lets them send.
    pub(crate) async fn start(address: SocketAddr, members: Vec<Member>) -> Self {
        let mut tasks = JoinSet::new();
        let has_sent = Arc::new(Semaphore::new(0));
        let count = members.len() as u32;
        for (number, member) in members.into_iter().enumerate() {
            let has_sent = has_sent.clone();
            tasks.spawn(async move {
                // A node may refuse a member at any time, by an answer or by closing.
                let connected = timeout(SEND_TIMEOUT, TcpStream::connect(address)).await;
                let Ok(Ok(mut stream)) = connected else {
                    has_sent.add_permits(1);
                    return;
                };
                let _sent = timeout(SEND_TIMEOUT, member.send(&mut stream, number)).await;
                has_sent.add_permits(1);
                if !matches!(member, Member::NeverReads { .. }) {
                    let mut answer = [0; 4_096];
                    while matches!(stream.read(&mut answer).await, Ok(read) if read > 0) {}
                }
                std::future::pending::<()>().await;
            });
        }
        Self {
            members: tasks,
            count,
            has_sent,
        }
    }

    /// Waits until each member has sent what it can.
    pub(crate) async fn settle(&self) {
        let all = self.has_sent.acquire_many(self.count).await;
        all.expect("the semaphore is never closed").forget();
    }

    /// Closes all connections.
    pub(crate) async fn leave(mut self) {
        self.members.shutdown().await;
    }
}
