//! Starts HTTP servers, mostly on the loopback address.

use std::io;
use std::net::SocketAddr;

use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use tokio::net::{TcpListener, TcpSocket};

/// A server that stops when it is dropped.
#[derive(Debug)]
pub struct RunningServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.handle.stop_forceful();
    }
}

/// A reserved address that refuses every connection until this value is dropped.
#[derive(Debug)]
pub struct ReservedAddress {
    /// Loopback address with the reserved port.
    pub address: SocketAddr,
    _socket: TcpSocket,
}

/// Binds a free port of the loopback address without listening, so that no other process can
/// listen on it.
///
/// # Errors
///
/// Returns an error if no port can be bound.
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
/// Returns an error if no port can be bound.
pub async fn on_loopback(router: Router) -> io::Result<RunningServer> {
    on(SocketAddr::from(([127, 0, 0, 1], 0)), router).await
}

/// Serves a router on an address.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn on(address: SocketAddr, router: Router) -> io::Result<RunningServer> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let server = Server::new(TcpAcceptor::try_from(listener)?);
    let handle = server.handle();
    tokio::spawn(server.serve(router));
    Ok(RunningServer { address, handle })
}
