//! An HTTP server that sends raw responses chosen by a test.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

const CHUNK_BYTES: usize = 64 << 10;

/// A request that a scripted server received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Index of the request, from 0.
    pub number: usize,
    /// Index of the connection that carried it, from 0.
    pub connection: usize,
    /// Request line and headers as received.
    pub head: String,
}

/// Response of a scripted server to a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Sends this text and waits for the next request on the connection.
    KeepAlive(String),
    /// Sends this text and closes the connection.
    Close(String),
}

/// A scripted server that stops accepting connections when it is dropped.
#[derive(Debug)]
pub struct ScriptedServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    sent_bytes: Arc<AtomicU64>,
    accepting: JoinHandle<()>,
}

impl ReceivedRequest {
    /// Returns the value of a header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.head
            .lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
            .unwrap_or_default()
    }

    /// Returns a response with this request's `x-request-id` and a `content-length`.
    pub fn response(&self, status: &str, body: &str) -> String {
        response(self.header("x-request-id"), status, body)
    }
}

/// Returns a response with the given `x-request-id` and a `content-length`.
pub fn response(request_id: &str, status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-request-id: {request_id}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl ScriptedServer {
    /// Starts a server on a loopback address of this process; the script chooses each response.
    ///
    /// No other process uses the address, so a request for a port that was another's can't arrive here.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start<F>(script: F) -> io::Result<Self>
    where
        F: Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    {
        Self::start_with(script, false).await
    }

    /// Starts a server that sends each response a second time, before the response to the next
    /// request on the same connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start_duplicating<F>(script: F) -> io::Result<Self>
    where
        F: Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    {
        Self::start_with(script, true).await
    }

    async fn start_with<F>(script: F, duplicates: bool) -> io::Result<Self>
    where
        F: Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    {
        let [.., high, low] = (std::process::id() % 50_000 + 256).to_be_bytes();
        let own = SocketAddr::from(([127, high, low, 1], 0));
        let listener = TcpListener::bind(own).await?;
        let address = listener.local_addr()?;
        let requests = Arc::default();
        let sent_bytes = Arc::default();
        let task = ServerTask {
            script: Arc::new(script),
            duplicates,
            requests: Arc::clone(&requests),
            sent_bytes: Arc::clone(&sent_bytes),
        };
        let accepting = tokio::spawn(task.accept(listener));
        Ok(Self {
            address,
            requests,
            sent_bytes,
            accepting,
        })
    }

    /// Returns all requests received so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        let requests = self.requests.lock();
        requests.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of response bytes written to the connections.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Acquire)
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

struct ServerTask<F> {
    script: Arc<F>,
    /// Whether each response is sent again before the next one.
    duplicates: bool,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    sent_bytes: Arc<AtomicU64>,
}

impl<F> ServerTask<F>
where
    F: Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
{
    async fn accept(self, listener: TcpListener) {
        let task = Arc::new(self);
        for connection in 0.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let task = Arc::clone(&task);
            // Tests break connections on purpose, so errors are ignored.
            tokio::spawn(async move { task.serve_connection(connection, stream).await.ok() });
        }
    }

    async fn serve_connection(&self, connection: usize, mut stream: TcpStream) -> io::Result<()> {
        let mut duplicate = String::new();
        loop {
            let head = read_request(&mut stream).await?;
            let request = record_request(&self.requests, connection, head);
            let (text, keep_alive) = match (self.script)(&request) {
                Reply::KeepAlive(text) => (text, true),
                Reply::Close(text) => (text, false),
            };
            self.send(&mut stream, &duplicate).await?;
            self.send(&mut stream, &text).await?;
            if !keep_alive {
                return Ok(());
            }
            if self.duplicates {
                duplicate = text;
            }
        }
    }

    async fn send(&self, stream: &mut TcpStream, text: &str) -> io::Result<()> {
        for chunk in text.as_bytes().chunks(CHUNK_BYTES) {
            stream.write_all(chunk).await?;
            let sent = &self.sent_bytes;
            sent.fetch_add(chunk.len() as u64, Ordering::AcqRel);
        }
        Ok(())
    }
}

fn record_request(
    requests: &Mutex<Vec<ReceivedRequest>>,
    connection: usize,
    head: String,
) -> ReceivedRequest {
    let mut requests = requests.lock().unwrap_or_else(PoisonError::into_inner);
    let request = ReceivedRequest {
        number: requests.len(),
        connection,
        head,
    };
    requests.push(request.clone());
    request
}

async fn read_request(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let request = ReceivedRequest {
        number: 0,
        connection: 0,
        head,
    };
    let length = request.header("content-length").parse().unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).await?;
    Ok(request.head)
}
