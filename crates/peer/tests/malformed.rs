//! Malformed messages are reported by kind and end only their own connection.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::{Builder, Runtime};
use wisteriapoint_peer::{
    Client, DatagramSocket, Error, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION, serve,
};

type Message = (u32, String, Vec<Option<u64>>);

const TIMEOUT: Duration = Duration::from_secs(20);
const CASES: u32 = 128;

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

fn message() -> Message {
    (7, "strap".to_owned(), vec![Some(1), None])
}

fn frame(version: u8, length_bytes: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![version];
    bytes.extend(length_bytes.to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Runs a case for random byte strings.
fn for_random_bytes(case: impl Fn(Vec<u8>)) {
    let mut runner = TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    });
    let bytes = proptest::collection::vec(any::<u8>(), 0..200);
    let result = runner.run(&bytes, |bytes| {
        case(bytes);
        Ok(())
    });
    result.unwrap();
}

async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, |message: Message| async move { message }));
    address
}

/// Sends bytes, shuts down the sending side and reads until the peer closes the connection.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The peer may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut response = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut response));
    let _ = read.await.expect("the peer closes the connection");
    response
}

/// Calls a server that responds with the given bytes.
async fn call_server_sending(bytes: Vec<u8>) -> Result<Message, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut header = [0; 5];
        stream.read_exact(&mut header).await.unwrap();
        let length = u32::from_le_bytes([header[1], header[2], header[3], header[4]]);
        let mut body = vec![0; length as usize];
        stream.read_exact(&mut body).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
    });
    Client::new().call(address, &message(), TIMEOUT).await
}

#[test]
fn a_server_survives_random_frames() {
    let runtime = runtime();
    let address = runtime.block_on(start_echo_server());
    for_random_bytes(|bytes| {
        runtime.block_on(async {
            let complete = frame(PROTOCOL_VERSION, bytes.len() as u32, &bytes);
            send_raw(address, &bytes).await;
            send_raw(address, &complete).await;
            let response: Message = Client::new()
                .call(address, &message(), TIMEOUT)
                .await
                .unwrap();
            assert_eq!(response, message());
        });
    });
}

#[tokio::test]
async fn a_server_does_not_respond_to_a_malformed_frame() {
    let address = start_echo_server().await;
    let body = postcard::to_allocvec(&message()).unwrap();
    let length = body.len() as u32;
    let mut trailing = body.clone();
    trailing.push(0);
    for (name, bytes) in [
        (
            "another version",
            frame(PROTOCOL_VERSION + 1, length, &body),
        ),
        (
            "too long",
            frame(PROTOCOL_VERSION, MAX_FRAME_BYTES as u32 + 1, &body),
        ),
        (
            "truncated body",
            frame(PROTOCOL_VERSION, length, &body[..body.len() - 1]),
        ),
        ("truncated header", vec![PROTOCOL_VERSION, 1]),
        (
            "length exceeds the body",
            frame(PROTOCOL_VERSION, length + 1, &body),
        ),
        (
            "bytes after the message",
            frame(PROTOCOL_VERSION, length + 1, &trailing),
        ),
    ] {
        assert_eq!(send_raw(address, &bytes).await, Vec::<u8>::new(), "{name}");
    }
    let response: Message = Client::new()
        .call(address, &message(), TIMEOUT)
        .await
        .unwrap();
    assert_eq!(response, message());
}

#[tokio::test]
async fn a_client_reports_why_a_response_is_invalid() {
    let body = postcard::to_allocvec(&message()).unwrap();
    let length = body.len() as u32;
    let valid = frame(PROTOCOL_VERSION, length, &body);
    assert_eq!(call_server_sending(valid).await.unwrap(), message());
    for (bytes, text) in [
        (frame(9, length, &body), "protocol version 9"),
        (
            frame(PROTOCOL_VERSION, u32::MAX, &body),
            "exceeds the bound",
        ),
        (frame(PROTOCOL_VERSION, 2, &[0xff, 0xff]), "malformed"),
        (
            frame(PROTOCOL_VERSION, length + 1, &[&body[..], &[0]].concat()),
            "malformed",
        ),
    ] {
        let error = call_server_sending(bytes).await.unwrap_err();
        assert!(error.is_malformed(), "{error}");
        assert!(error.to_string().contains(text), "{error}");
    }
    let truncated = frame(PROTOCOL_VERSION, length, &body[..3]);
    let error = call_server_sending(truncated).await.unwrap_err();
    assert!(!error.is_malformed() && !error.is_timeout(), "{error}");
}

#[test]
fn a_client_survives_random_responses() {
    let runtime = runtime();
    for_random_bytes(|bytes| {
        // Random bytes may be a valid response, so both results are accepted.
        let _ = runtime.block_on(call_server_sending(bytes));
    });
}

#[test]
fn a_socket_survives_random_datagrams() {
    let runtime = runtime();
    let (receiver, sender, address) = runtime.block_on(async {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap();
        let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        (DatagramSocket::new(socket), sender, address)
    });
    for_random_bytes(|bytes| {
        runtime.block_on(async {
            sender.send_to(&bytes, address).await.unwrap();
            if let Err(error) = receiver.receive::<Message>().await {
                assert!(error.is_malformed(), "{error}");
            }
            let complete = [
                &[PROTOCOL_VERSION][..],
                &postcard::to_allocvec(&message()).unwrap(),
            ];
            sender.send_to(&complete.concat(), address).await.unwrap();
            let (_, received) = receiver.receive::<Message>().await.unwrap();
            assert_eq!(received, message());
        });
    });
}

#[tokio::test]
async fn a_datagram_out_of_bounds_is_refused() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let receiver = DatagramSocket::new(socket);
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for (bytes, text) in [
        (
            vec![PROTOCOL_VERSION; MAX_DATAGRAM_BYTES + 1],
            "exceeds the bound",
        ),
        (vec![PROTOCOL_VERSION + 1, 0], "protocol version 2"),
        (vec![], "exceeds the bound"),
        (vec![PROTOCOL_VERSION, 0xff], "malformed"),
        (vec![PROTOCOL_VERSION, 0, 0, 0, 0], "1 bytes follow it"),
    ] {
        sender.send_to(&bytes, address).await.unwrap();
        let error = receiver.receive::<Message>().await.unwrap_err();
        assert!(error.is_malformed(), "{error}");
        assert!(error.to_string().contains(text), "{error}");
    }
    let too_long = (
        1_u32,
        "x".repeat(MAX_DATAGRAM_BYTES),
        Vec::<Option<u64>>::new(),
    );
    let sending = DatagramSocket::new(sender);
    assert!(sending.send(address, &too_long).await.is_err());
}
