//! Listening sockets of a daemon.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, UdpSocket};
use wisteriapoint_settings::VmSettings;

const BIND_ATTEMPTS: usize = 16;

/// Addresses that a daemon listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Address for callers and trainers.
    pub service: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other daemons, TCP and UDP.
    pub peer: SocketAddr,
}

/// Bound sockets of a daemon.
#[derive(Debug)]
pub(super) struct Listeners {
    pub(super) service: TcpListener,
    pub(super) admin: TcpListener,
    pub(super) peer: TcpListener,
    pub(super) datagram_socket: UdpSocket,
}

impl Listeners {
    /// Binds the addresses of a VM's settings; port 0 selects a free port.
    pub(super) async fn bind(settings: &VmSettings) -> io::Result<Self> {
        let (peer, datagram_socket) = bind_peer(settings.peer_address).await?;
        Ok(Self {
            service: TcpListener::bind(settings.service_address).await?,
            admin: TcpListener::bind(settings.admin_address).await?,
            peer,
            datagram_socket,
        })
    }

    pub(super) fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            service: self.service.local_addr()?,
            admin: self.admin.local_addr()?,
            peer: self.peer.local_addr()?,
        })
    }
}

/// Binds TCP and UDP on the same port.
///
/// With port 0, tries again if the port that was free for TCP is in use for UDP.
async fn bind_peer(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempt = 1;
    loop {
        let peer = TcpListener::bind(address).await?;
        match UdpSocket::bind(peer.local_addr()?).await {
            Ok(datagram_socket) => return Ok((peer, datagram_socket)),
            Err(_) if address.port() == 0 && attempt < BIND_ATTEMPTS => attempt += 1,
            Err(error) => return Err(error),
        }
    }
}
