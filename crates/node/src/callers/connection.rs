//! Connections from callers, from the load balancer and from readers of metrics.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};
use wisteriapoint_intake::{Connection, Stage as ConnectionStage};

use super::caller_io::CallerStream;
use super::request::handle_request;
use super::response::{InfallibleResult, Payload, StreamAborted, body_response, text_response};
use crate::dialect::Dialect;
use crate::event;
use crate::node::{Node, Stage};

/// Delay after a failed accept, which may mean that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Smallest buffer size that the HTTP library accepts.
const MIN_HEADER_BUFFER_BYTES: usize = 8_192;
/// Longest time for the refusal of a request whose connection has to close.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of turns of other tasks in which a connection that was asked to close does so.
const CLOSE_TURNS: usize = 8;
const METRICS_PATH: &str = "/metrics";

/// Accepts connections from callers until the node exits.
pub async fn serve_requests<D: Dialect>(node: Rc<Node<D>>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Connections that were not accepted are reset, so that callers use another node.
            () = node.shutdown.exiting() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                make_room(&node).await;
                let connection = node.intake.connections.open(node.now_ms());
                spawn_local(serve_connection(node.clone(), connection, stream));
            }
            Err(error) => {
                event!(
                    warn,
                    "caller connection not accepted; retrying",
                    error = error
                );
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes connections until another one may be served; the callers behind it wait meanwhile.
async fn make_room<D: Dialect>(node: &Rc<Node<D>>) {
    let connections = &node.intake.connections;
    while !connections.has_room() {
        if !connections.close_one(node.now_ms()) {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        }
        node.record_refusal("", "connections");
        for _ in 0..CLOSE_TURNS {
            if connections.has_room() {
                return;
            }
            yield_now().await;
        }
    }
}

/// Counts an open connection as long as the guard exists.
struct ConnectionGuard<D: Dialect>(Rc<Node<D>>);

impl<D: Dialect> ConnectionGuard<D> {
    fn new(node: Rc<Node<D>>) -> Self {
        node.connections.set(node.connections.get() + 1);
        Self(node)
    }
}

impl<D: Dialect> Drop for ConnectionGuard<D> {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Payload whose connection is idle once it has been sent or dropped; until then a stream may send
/// nothing for seconds.
struct ServedPayload {
    payload: Payload,
    entry: Rc<Connection>,
}

impl Body for ServedPayload {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        Pin::new(&mut self.payload).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.payload.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.payload.size_hint()
    }
}

impl Drop for ServedPayload {
    fn drop(&mut self) {
        self.entry.set_stage(ConnectionStage::Idle);
    }
}

async fn serve_connection<D: Dialect>(
    node: Rc<Node<D>>,
    connection: Connection,
    stream: TcpStream,
) {
    let entry = Rc::new(connection);
    let _guard = ConnectionGuard::new(node.clone());
    if let Err(error) = stream.set_nodelay(true) {
        event!(
            debug,
            "TCP_NODELAY not set on caller connection",
            error = error
        );
    }
    let limits = node
        .configuration()
        .map(|configuration| configuration.limits);
    let limits = limits.unwrap_or_default();
    let service = service_fn(|request| {
        let (node, entry) = (node.clone(), entry.clone());
        async move {
            entry.set_stage(ConnectionStage::Running);
            let response = handle_request(node, entry.clone(), request).await;
            InfallibleResult::Ok(response.map(|payload| ServedPayload { payload, entry }))
        }
    });
    let mut closing = node.shutdown.closing();
    let is_closing = *closing.borrow_and_update();
    let mut builder = Builder::new();
    // The HTTP library's header timeout also covers the idle time before a request.
    let header_timeout_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(header_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .keep_alive(!is_closing);
    let write_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let stream = CallerStream::new(stream, entry.clone(), node.clock, write_timeout);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let should_close = async {
        tokio::select! {
            _ = closing.changed() => {}
            () = node.shutdown.exiting() => {}
        }
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = should_close => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = poll_fn(|context| entry.poll_closed(context)) => {
            connection.as_mut().graceful_shutdown();
            match entry.is_idle() {
                true => Ok(()),
                false => timeout(REFUSAL_TIMEOUT, connection).await.unwrap_or(Ok(())),
            }
        }
    };
    if let Err(error) = result {
        event!(debug, "caller connection failed", error = error);
    }
}

/// Serves the load balancer's readiness checks and the metrics page until the node stops.
pub async fn serve_readiness_and_metrics<D: Dialect>(node: Rc<Node<D>>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                event!(
                    warn,
                    "readiness or metrics connection not accepted; retrying",
                    error = error
                );
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let node = node.clone();
        spawn_local(async move {
            let service = service_fn(|request: hyper::Request<hyper::body::Incoming>| {
                let response =
                    readiness_or_metrics_response(&node, request.method(), request.uri().path());
                async move { InfallibleResult::Ok(response) }
            });
            let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                event!(
                    debug,
                    "readiness or metrics connection failed",
                    error = error
                );
            }
        });
    }
}

fn readiness_or_metrics_response<D: Dialect>(
    node: &Node<D>,
    method: &Method,
    path: &str,
) -> super::CallerResponse {
    match node.stage.get() {
        _ if path == METRICS_PATH => {
            let held_bytes = node.intake.budget.held_bytes();
            node.metrics.set_state("held_bytes", held_bytes as i64);
            let text = node.metrics.encode();
            body_response(StatusCode::OK, "text/plain; version=0.0.4", text)
        }
        _ if !D::is_readiness_probe(method, path) => {
            text_response(StatusCode::NOT_FOUND, "no such page")
        }
        Stage::Serving => text_response(StatusCode::OK, "ready"),
        Stage::Starting => text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
        Stage::Stopping => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}
