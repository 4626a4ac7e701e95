//! Control's part in the relay of views and configuration between daemons.
//!
//! Every second, and at once after a change, a daemon sends a datagram with its view
//! number and a hash of its configuration to a few others. Who sees a difference asks
//! the sender over TCP for what is missing, and offers what the sender lacks.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::seq::IndexedRandom;
use wisteriapoint_catalog::{Summary, Update};
use wisteriapoint_membership::View;
use wisteriapoint_peer::DatagramSocket;
use wisteriapoint_types::{MemberId, ViewNumber};

use super::Control;
use crate::daemon::exchange;
use crate::daemon::message::{PeerResponse, ServiceCrashReport, StateDigest, Synced};

const FANOUT: usize = 3;
const DIGEST_EVERY_TICKS: u64 = 50;
const STRIKES_PER_DIGEST: usize = 8;
const EXCHANGES_AT_ONCE: usize = 3;
const UPDATE_BYTES: usize = 4 << 20;

/// Who a digest is meant for, and the address.
type Receiver = (Option<MemberId>, SocketAddr);

/// State of the relay.
#[derive(Debug)]
pub(super) struct Relay {
    datagrams: Arc<DatagramSocket>,
    seed_peers: Vec<SocketAddr>,
    exchanging: BTreeSet<SocketAddr>,
    has_news: bool,
    strikes: Vec<ServiceCrashReport>,
}

impl Relay {
    pub(super) fn new(datagrams: Arc<DatagramSocket>, seed_peers: Vec<SocketAddr>) -> Self {
        Self {
            datagrams,
            seed_peers,
            exchanging: BTreeSet::new(),
            has_news: false,
            strikes: Vec::new(),
        }
    }

    /// Sends digests at the next tick rather than at the next second.
    pub(super) fn spread(&mut self) {
        self.has_news = true;
    }

    pub(super) fn end_exchange(&mut self, with: SocketAddr) {
        self.exchanging.remove(&with);
    }
}

impl Control {
    pub(super) fn tick_relay(&mut self) {
        let is_due = self.ticks.is_multiple_of(DIGEST_EVERY_TICKS);
        if !is_due && !self.relay.has_news {
            return;
        }
        self.relay.has_news = false;
        let digest = self.digest(self.relay.strikes.clone());
        self.send(self.digest_receivers(), &digest);
    }

    /// Takes recent strikes for the next digests, and tells all members of the fresh ones.
    pub(super) fn take_strikes(
        &mut self,
        mut recent: Vec<ServiceCrashReport>,
        mut fresh: Vec<ServiceCrashReport>,
    ) {
        recent.truncate(STRIKES_PER_DIGEST);
        self.relay.strikes = recent;
        if fresh.is_empty() {
            return;
        }
        fresh.truncate(STRIKES_PER_DIGEST);
        let digest = self.digest(fresh);
        self.send(self.other_members(), &digest);
    }

    fn digest(&self, strikes: Vec<ServiceCrashReport>) -> StateDigest {
        StateDigest {
            to: None,
            view: self.snapshot.view.number,
            content_hash: self.catalog.content_hash(),
            crash_reports: strikes,
        }
    }

    fn send(&self, receivers: Vec<Receiver>, digest: &StateDigest) {
        let datagrams = Arc::clone(&self.relay.datagrams);
        let counter = self.shared.metrics.control_bytes.clone();
        let mut digest = digest.clone();
        tokio::spawn(async move {
            for (to, address) in receivers {
                digest.to = to;
                if let Ok(length_bytes) = datagrams.send(address, &digest).await {
                    counter.inc_by(length_bytes as u64);
                }
            }
        });
    }

    fn other_members(&self) -> Vec<Receiver> {
        let me = self.shared.me.id;
        let members = self.snapshot.view.members.iter();
        members
            .filter(|member| member.id != me)
            .map(|member| (Some(member.id), member.peer_address))
            .collect()
    }

    fn digest_receivers(&self) -> Vec<Receiver> {
        let mut receivers = self.other_members();
        if receivers.is_empty() || !self.snapshot.configured {
            let seed_peers = self.relay.seed_peers.iter();
            receivers.extend(seed_peers.map(|&address| (None, address)));
        }
        receivers
            .sample(&mut rand::rng(), FANOUT)
            .copied()
            .collect()
    }

    pub(super) fn take_digest(&mut self, from: SocketAddr, digest: StateDigest) {
        if digest.to.is_some_and(|id| id != self.shared.me.id) {
            return;
        }
        if !digest.crash_reports.is_empty() {
            // Traffic that is behind learns of them with a later digest.
            let _ = self.shared.crash_reports.try_send(digest.crash_reports);
        }
        let same_view = digest.view == self.snapshot.view.number;
        let is_same = same_view && digest.content_hash == self.catalog.content_hash();
        let is_full = self.relay.exchanging.len() >= EXCHANGES_AT_ONCE;
        if is_same || is_full || !self.relay.exchanging.insert(from) {
            return;
        }
        exchange::spawn(
            &self.shared,
            from,
            self.snapshot.view.number,
            self.catalog.summary(),
        );
    }

    pub(super) fn answer_sync(&self, view: ViewNumber, known: &Summary) -> PeerResponse {
        let mine = &self.snapshot.view;
        PeerResponse::Synced(Synced {
            view: (mine.number > view).then(|| View::clone(mine)),
            update: self.catalog.newer_than(known, UPDATE_BYTES),
            configured: self.snapshot.configured,
            behind: view > mine.number || self.catalog.is_behind(known),
        })
    }

    pub(super) fn answer_offer(&mut self, view: Option<View>, update: Update) -> PeerResponse {
        if let Some(view) = view {
            self.take_view(view);
        }
        if !update.is_empty() {
            self.take_update(update);
        }
        PeerResponse::Acknowledged
    }
}
