//! Exchange of views and configuration with one peer, and the datagrams that start it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wisteriapoint_catalog::Summary;
use wisteriapoint_peer::DatagramSocket;
use wisteriapoint_types::ViewNumber;

use super::Shared;
use super::control::Command;
use super::message::{AddressedRequest, PeerRequest, PeerResponse, StateDigest, Synced};

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Forwards received datagrams to the control loop until the loop stops.
pub async fn receive_datagrams(shared: Arc<Shared>, socket: Arc<DatagramSocket>) {
    loop {
        match socket.receive::<StateDigest>().await {
            Ok((from, digest)) => {
                if shared
                    .control
                    .send(Command::Digest(from, digest))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Err(_) => shared.metrics.malformed_datagrams.inc(),
        }
    }
}

/// Requests newer state from a peer and offers it what it lacks.
pub fn spawn(shared: &Arc<Shared>, peer: SocketAddr, view: ViewNumber, summary: Summary) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        exchange(&shared, peer, view, summary).await;
        send_command(&shared, Command::ExchangeEnded(peer)).await;
    });
}

async fn exchange(shared: &Arc<Shared>, peer: SocketAddr, view: ViewNumber, summary: Summary) {
    let request = PeerRequest::Sync { view, summary };
    let Some(PeerResponse::Synced(synced)) = call(shared, peer, request).await else {
        return;
    };
    let Synced {
        view,
        update,
        configured,
        behind,
    } = synced;
    if let Some(view) = view {
        send_command(shared, Command::View(view)).await;
    }
    if configured {
        send_command(shared, Command::Update(update)).await;
    }
    if behind {
        offer(shared, peer).await;
    }
}

/// Sends this daemon's view and configuration to a peer that is behind.
async fn offer(shared: &Arc<Shared>, peer: SocketAddr) {
    let request = PeerRequest::Sync {
        view: ViewNumber::default(),
        summary: Summary::default(),
    };
    let own = shared.call_control(request, EXCHANGE_TIMEOUT).await;
    if let Some(PeerResponse::Synced(Synced { view, update, .. })) = own {
        call(shared, peer, PeerRequest::Offer { view, update }).await;
    }
}

async fn call(
    shared: &Arc<Shared>,
    peer: SocketAddr,
    request: PeerRequest,
) -> Option<PeerResponse> {
    let addressed = AddressedRequest { to: None, request };
    let call = shared.peers.call(peer, &addressed, EXCHANGE_TIMEOUT);
    call.await.ok()
}

async fn send_command(shared: &Arc<Shared>, command: Command) {
    // The send fails only when the daemon stops.
    let _ = shared.control.send(command).await;
}
