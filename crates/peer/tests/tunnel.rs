//! Connections to a third party through another daemon, and how their ends are told apart.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use wisteriapoint_peer::{Answer, Client, ResetOnClose, TunnelStream, serve_with_tunnels};

const TIME_LIMIT: Duration = Duration::from_secs(5);

/// A daemon that connects its requesters to the address they name; aborting the task ends it.
async fn start_daemon() -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let permits = Arc::new(Semaphore::new(8));
    let daemon = tokio::spawn(serve_with_tunnels(listener, move |target: SocketAddr| {
        let permits = permits.clone();
        async move {
            match TcpStream::connect(target).await {
                Ok(stream) => Answer::Tunnel {
                    response: true,
                    target: stream,
                    permit: permits.acquire_owned().await.unwrap(),
                },
                Err(_) => Answer::Response(false),
            }
        }
    }));
    (address, daemon)
}

async fn open(daemon: SocketAddr, target: SocketAddr) -> (bool, TunnelStream) {
    let client = Client::new();
    client
        .open_tunnel(daemon, &target, TIME_LIMIT)
        .await
        .unwrap()
}

async fn read_all(stream: &mut TunnelStream) -> io::Result<Vec<u8>> {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await?;
    Ok(received)
}

#[tokio::test]
async fn bytes_pass_in_both_directions_until_the_third_party_closes() {
    let (daemon, _task) = start_daemon().await;
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (is_open, mut stream) = open(daemon, target.local_addr().unwrap()).await;
    assert!(is_open);
    let (mut accepted, _) = target.accept().await.unwrap();
    stream.write_all(b"question").await.unwrap();
    let mut question = [0; 8];
    accepted.read_exact(&mut question).await.unwrap();
    assert_eq!(&question, b"question");
    let answer: Vec<u8> = (0..200_000_u32).map(|byte| byte as u8).collect();
    let expected = answer.clone();
    let writing = tokio::spawn(async move { accepted.write_all(&answer).await });
    assert_eq!(read_all(&mut stream).await.unwrap(), expected);
    writing.await.unwrap().unwrap();
}

/// Guards against a response that ends with its connection, and that looks complete because the daemon in
/// between has ended or the third party has broken off.
#[tokio::test]
async fn an_end_that_is_not_the_third_partys_own_is_an_error() {
    let (daemon, _task) = start_daemon().await;
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_, mut stream) = open(daemon, target.local_addr().unwrap()).await;
    let (mut accepted, _) = target.accept().await.unwrap();
    accepted.write_all(b"part").await.unwrap();
    accepted.set_zero_linger().unwrap();
    let mut part = [0; 4];
    stream.read_exact(&mut part).await.unwrap();
    drop(accepted);
    assert!(read_all(&mut stream).await.is_err(), "a reset");

    let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy_address = proxy.local_addr().unwrap();
    let (_, mut stream) = {
        let opening = tokio::spawn(open(proxy_address, target.local_addr().unwrap()));
        let (mut accepted, _) = proxy.accept().await.unwrap();
        let mut request = [0; 5];
        accepted.read_exact(&mut request).await.unwrap();
        // A frame of one byte with the response, a chunk of four bytes, and no end.
        accepted.write_all(&[1, 1, 0, 0, 0, 1]).await.unwrap();
        accepted
            .write_all(&[0, 4, b'p', b'a', b'r', b't'])
            .await
            .unwrap();
        let opened = opening.await.unwrap();
        let mut rest = vec![0; 64];
        let _read = accepted.read(&mut rest).await.unwrap();
        opened
    };
    assert!(
        read_all(&mut stream).await.is_err(),
        "the end of the daemon"
    );
}

#[tokio::test]
async fn a_requester_that_leaves_closes_the_connection_to_the_third_party() {
    let (daemon, _task) = start_daemon().await;
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_, stream) = open(daemon, target.local_addr().unwrap()).await;
    let (mut accepted, _) = target.accept().await.unwrap();
    drop(stream);
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(TIME_LIMIT, accepted.read_to_end(&mut rest)).await;
    assert!(ended.is_ok());
}

#[tokio::test]
async fn a_third_party_that_is_not_reached_is_told() {
    let (daemon, _task) = start_daemon().await;
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    let (is_open, _) = open(daemon, address).await;
    assert!(!is_open);
}

/// Guards against a request that was given up and that the daemon in between sends on after a partition, as
/// it closes its connection to the third party in the orderly way.
#[tokio::test]
async fn a_reset_by_the_requester_resets_the_connection_to_the_third_party() {
    for is_reset in [false, true] {
        let (daemon, _task) = start_daemon().await;
        let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_, mut stream) = open(daemon, target.local_addr().unwrap()).await;
        let (mut accepted, _) = target.accept().await.unwrap();
        stream.write_all(b"question").await.unwrap();
        let mut question = [0; 8];
        accepted.read_exact(&mut question).await.unwrap();
        stream.set_reset_on_close(is_reset).unwrap();
        drop(stream);
        let end = accepted.read(&mut question).await;
        match is_reset {
            true => assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset),
            false => assert_eq!(end.unwrap(), 0),
        }
    }
}
