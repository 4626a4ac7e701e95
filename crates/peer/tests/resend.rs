//! Requests that are sent again after a reused connection broke.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wisteriapoint_peer::{Client, Error};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which an idle connection must not be used any more.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1_050);

/// Reads a request and returns its frame, which is also a response of the same type.
async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut frame = vec![0; 5];
    stream.read_exact(&mut frame).await?;
    let length = u32::from_le_bytes([frame[1], frame[2], frame[3], frame[4]]);
    frame.resize(5 + length as usize, 0);
    stream.read_exact(&mut frame[5..]).await?;
    Ok(frame)
}

async fn echo(stream: &mut TcpStream) -> io::Result<()> {
    let frame = read_frame(stream).await?;
    stream.write_all(&frame).await
}

async fn call(client: &Client, address: SocketAddr, request: u32) -> Result<u32, Error> {
    client.call(address, &request, TIMEOUT).await
}

/// Guards against the claim that a request did not reach the peer although an earlier copy did.
#[tokio::test]
async fn a_request_that_was_received_before_the_peer_ended_is_not_reported_as_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = Client::new();
    let peer = async {
        let (mut stream, _) = listener.accept().await?;
        echo(&mut stream).await?;
        drop(listener);
        read_frame(&mut stream).await
    };
    let calls = async {
        assert_eq!(call(&client, address, 1).await.unwrap(), 1);
        call(&client, address, 2).await.unwrap_err()
    };
    let (received, error) = tokio::join!(peer, calls);
    received.unwrap();
    assert!(error.is_connection_refused(), "{error}");
    assert!(!error.is_connect(), "{error}");
}

/// Guards against calls that each wait for one more idle connection which delivers nothing any more.
#[tokio::test]
async fn a_connection_that_was_idle_for_long_is_not_used() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = Client::new();
    let peer = async {
        let (mut silent, _) = listener.accept().await?;
        echo(&mut silent).await?;
        let (mut second, _) = listener.accept().await?;
        echo(&mut second).await?;
        Ok::<_, io::Error>(silent)
    };
    let calls = async {
        assert_eq!(call(&client, address, 1).await.unwrap(), 1);
        tokio::time::sleep(MAX_IDLE_TIME).await;
        let second = tokio::time::timeout(TIMEOUT / 2, call(&client, address, 2)).await;
        assert_eq!(second.unwrap().unwrap(), 2);
    };
    let (peer, ()) = tokio::join!(peer, calls);
    peer.unwrap();
}
