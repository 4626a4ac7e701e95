//! The ways to endpoints: directly, or through another node that reaches them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use wisteriapoint_types::{EndpointName, hash64};

/// Time for which an endpoint that only another node reached is reached through other nodes first, in
/// milliseconds; after that both ways are tried again.
const RELAYED_MS: u64 = 1_000;
/// Time for which no other node is asked for an endpoint that none reached, in milliseconds: it is
/// likely to be down.
const UNREACHED_MS: u64 = 1_000;
/// Time for which a node is not asked after it did not connect, in milliseconds; it doubles with each
/// further failure.
const FIRST_PEER_PAUSE_MS: u64 = 500;
const MAX_PEER_PAUSE_MS: u64 = 8_000;
/// Time for which a node that did not reach an endpoint is asked after the others, in milliseconds: the
/// endpoint may be down, or that node cut off as well.
const PEER_UNREACHED_MS: u64 = 2_000;
/// Number of endpoints that only other nodes reach, from which this node counts as cut off: one may
/// have lost its link to this node alone.
const CUT_OFF_ENDPOINTS: usize = 2;
/// Time in which these must be found, in milliseconds.
const EVIDENCE_MS: u64 = 2_000;
/// Number of direct connections in a row, to different endpoints if there are several, after which this
/// node no longer counts as cut off. Hysteresis keeps it from changing ways on a link that half works.
const RETURN_CONNECTIONS: u32 = 2;

/// How a connection to an endpoint is to be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Directly, and through another node if that takes long or fails.
    Direct,
    /// Directly only, as no other node reached the endpoint either.
    DirectOnly,
    /// Through another node, and directly if none connects.
    Relayed,
}

/// A change of whether this node is cut off from the endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is cut off now.
    CutOff,
    /// It is no longer cut off, after this time in milliseconds.
    Returned {
        /// Time for which it was.
        after_ms: u64,
    },
}

/// Which ways to the endpoints work, as far as connections have told.
#[derive(Debug)]
pub struct Paths {
    own: SocketAddr,
    /// Peers that did not connect lately.
    peers: BTreeMap<SocketAddr, PeerState>,
    endpoints: BTreeMap<EndpointName, EndpointState>,
    /// Endpoints that only other nodes reached, with the time, since the last direct connection.
    relayed_only: BTreeMap<EndpointName, u64>,
    cut_off_since_ms: Option<u64>,
    /// Endpoints that were reached directly in a row while the node is cut off.
    returned: BTreeSet<EndpointName>,
    return_connections: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct PeerState {
    failures: u32,
    paused_until_ms: u64,
    last_until_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct EndpointState {
    address: SocketAddr,
    relayed_until_ms: u64,
    unreached_until_ms: u64,
}

impl Paths {
    /// Creates the state of the node at an address.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            relayed_only: BTreeMap::new(),
            cut_off_since_ms: None,
            returned: BTreeSet::new(),
            return_connections: 0,
        }
    }

    /// Returns `true` if this node is cut off from the endpoints, and others are not.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since_ms.is_some()
    }

    /// Returns how to open a connection to an endpoint.
    pub fn way(&mut self, now_ms: u64, endpoint: &EndpointName, address: SocketAddr) -> Way {
        let state = self.endpoints.entry(endpoint.clone());
        let state = state.or_insert(EndpointState {
            address,
            relayed_until_ms: 0,
            unreached_until_ms: 0,
        });
        state.address = address;
        match state {
            _ if self.cut_off_since_ms.is_some() => Way::Relayed,
            state if now_ms < state.unreached_until_ms => Way::DirectOnly,
            state if now_ms < state.relayed_until_ms => Way::Relayed,
            _ => Way::Direct,
        }
    }

    /// Forgets an endpoint that is no longer registered.
    pub fn forget(&mut self, endpoint: &EndpointName) {
        self.endpoints.remove(endpoint);
        self.relayed_only.remove(endpoint);
    }

    /// Returns those of the known peers that are to be asked for an endpoint, in order.
    ///
    /// Each node has an order of its own, so that those that are cut off spread over the others. Peers that
    /// lately did not reach an endpoint come last.
    pub fn relays(&mut self, now_ms: u64, known: BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        self.peers.retain(|peer, _| known.contains(peer));
        let seed = hash64(0, self.own.to_string().as_bytes());
        let is_ready = |peer: &SocketAddr| {
            let state = self.peers.get(peer);
            state.is_none_or(|state| state.paused_until_ms <= now_ms)
        };
        let mut ready: Vec<_> = known.into_iter().filter(is_ready).collect();
        ready.sort_by_cached_key(|peer| {
            let state = self.peers.get(peer);
            let is_last = state.is_some_and(|state| now_ms < state.last_until_ms);
            (is_last, hash64(seed, peer.to_string().as_bytes()))
        });
        ready
    }

    /// Records a connection that was opened directly.
    pub fn record_direct(&mut self, now_ms: u64, endpoint: &EndpointName) -> Option<Change> {
        self.relayed_only.clear();
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.relayed_until_ms = 0;
            state.unreached_until_ms = 0;
        }
        let since_ms = self.cut_off_since_ms?;
        let is_another = self.returned.insert(endpoint.clone()) || self.endpoints.len() == 1;
        self.return_connections += u32::from(is_another);
        (self.return_connections >= RETURN_CONNECTIONS).then(|| {
            self.cut_off_since_ms = None;
            self.clear_return();
            Change::Returned {
                after_ms: now_ms - since_ms,
            }
        })
    }

    /// Records that no direct connection could be opened.
    pub fn record_direct_failure(&mut self) {
        self.clear_return();
    }

    fn clear_return(&mut self) {
        self.returned.clear();
        self.return_connections = 0;
    }

    /// Records a connection through a peer to an endpoint that could not be reached directly.
    pub fn record_relayed(
        &mut self,
        now_ms: u64,
        endpoint: &EndpointName,
        peer: SocketAddr,
    ) -> Option<Change> {
        self.peers.remove(&peer);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.relayed_until_ms = now_ms + RELAYED_MS;
            state.unreached_until_ms = 0;
        }
        if self.is_cut_off() {
            return None;
        }
        self.relayed_only
            .retain(|_, at_ms| now_ms < *at_ms + EVIDENCE_MS);
        self.relayed_only.insert(endpoint.clone(), now_ms);
        let needed = CUT_OFF_ENDPOINTS.min(self.endpoints.len());
        (self.relayed_only.len() >= needed).then(|| {
            self.relayed_only.clear();
            self.cut_off_since_ms = Some(now_ms);
            Change::CutOff
        })
    }

    /// Records that a peer did not connect to an endpoint.
    pub fn record_peer_failure(&mut self, now_ms: u64, peer: SocketAddr) {
        let state = self.peers.entry(peer).or_default();
        let pause_ms = FIRST_PEER_PAUSE_MS << state.failures.min(8);
        state.failures += 1;
        state.paused_until_ms = now_ms + pause_ms.min(MAX_PEER_PAUSE_MS);
    }

    /// Records that a peer did not reach an endpoint.
    pub fn record_peer_unreached(&mut self, now_ms: u64, peer: SocketAddr) {
        let state = self.peers.entry(peer).or_default();
        state.last_until_ms = now_ms + PEER_UNREACHED_MS;
    }

    /// Records that neither this node nor others could reach an endpoint.
    pub fn record_unreached(&mut self, now_ms: u64, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.unreached_until_ms = now_ms + UNREACHED_MS;
        }
    }

    /// Returns the endpoints, with their addresses, to which direct connections are tried while this node
    /// is cut off.
    pub fn probed(&self) -> Vec<(EndpointName, SocketAddr)> {
        let endpoints = self.endpoints.iter();
        endpoints
            .map(|(name, state)| (name.clone(), state.address))
            .collect()
    }
}
