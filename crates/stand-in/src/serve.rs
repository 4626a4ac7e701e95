//! HTTP servers on loopback.

use std::io;
use std::net::SocketAddr;

use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use tokio::net::{TcpListener, TcpSocket};

/// A server that stops when it is dropped.
#[derive(Debug)]
pub struct RunningServer {
    /// Where it listens.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.handle.stop_forceful();
    }
}

/// An address at which every connect is refused, for as long as this lives.
#[derive(Debug)]
pub struct ReservedAddress {
    /// The address.
    pub address: SocketAddr,
    _socket: TcpSocket,
}

/// Takes a free port of the loopback address without listening on it, so that nobody else
/// comes to listen there.
///
/// # Errors
///
/// Fails if no port can be bound.
pub fn reserve_address() -> io::Result<ReservedAddress> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    Ok(ReservedAddress {
        address: socket.local_addr()?,
        _socket: socket,
    })
}

/// Serves a router on a free port of the loopback address.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn on_loopback(router: Router) -> io::Result<RunningServer> {
    on(SocketAddr::from(([127, 0, 0, 1], 0)), router).await
}

/// Serves a router on an address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn on(address: SocketAddr, router: Router) -> io::Result<RunningServer> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let server = Server::new(TcpAcceptor::try_from(listener)?);
    let handle = server.handle();
    tokio::spawn(server.serve(router));
    Ok(RunningServer { address, handle })
}
