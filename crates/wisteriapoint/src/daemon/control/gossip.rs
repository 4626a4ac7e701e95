//! Gossip of views and configuration between daemons.
//!
//! Every second, and immediately after a change, a daemon sends a datagram with its view
//! number and a hash of its configuration to a few other daemons. A receiver whose state differs
//! requests newer state from the sender over TCP and offers what the sender lacks.

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
/// Reports in one digest: with the longest names, they fit into a datagram.
const MAX_CRASH_REPORTS_PER_DIGEST: usize = 5;
/// New reports that are sent immediately; an engine runs fewer requests at once.
const MAX_NEW_CRASH_REPORTS: usize = 64;
const MAX_EXCHANGES: usize = 3;
const MAX_UPDATE_BYTES: usize = 4 << 20;

/// Recipient of a digest: its member id, if known, and its address.
type Recipient = (Option<MemberId>, SocketAddr);

/// State of the gossip protocol.
#[derive(Debug)]
pub(super) struct Gossip {
    socket: Arc<DatagramSocket>,
    seed_peers: Vec<SocketAddr>,
    exchanges: BTreeSet<SocketAddr>,
    digest_pending: bool,
    crash_reports: Vec<ServiceCrashReport>,
}

impl Gossip {
    pub(super) fn new(socket: Arc<DatagramSocket>, seed_peers: Vec<SocketAddr>) -> Self {
        Self {
            socket,
            seed_peers,
            exchanges: BTreeSet::new(),
            digest_pending: false,
            crash_reports: Vec::new(),
        }
    }

    /// Schedules digests for the next tick instead of the next regular interval.
    pub(super) fn schedule_digest(&mut self) {
        self.digest_pending = true;
    }

    pub(super) fn end_exchange(&mut self, peer: SocketAddr) {
        self.exchanges.remove(&peer);
    }
}

impl Control {
    pub(super) fn tick_gossip(&mut self) {
        let is_due = self.ticks.is_multiple_of(DIGEST_EVERY_TICKS);
        if !is_due && !self.gossip.digest_pending {
            return;
        }
        self.gossip.digest_pending = false;
        let digest = self.digest(self.gossip.crash_reports.clone());
        self.send_digest(self.digest_recipients(), &digest);
    }

    /// Includes recent crash reports in the next digests, and sends the new ones to all members
    /// immediately.
    pub(super) fn publish_crash_reports(
        &mut self,
        mut recent: Vec<ServiceCrashReport>,
        mut new_reports: Vec<ServiceCrashReport>,
    ) {
        recent.truncate(MAX_CRASH_REPORTS_PER_DIGEST);
        self.gossip.crash_reports = recent;
        new_reports.truncate(MAX_NEW_CRASH_REPORTS);
        for reports in new_reports.chunks(MAX_CRASH_REPORTS_PER_DIGEST) {
            let digest = self.digest(reports.to_vec());
            self.send_digest(self.other_members(), &digest);
        }
    }

    fn digest(&self, crash_reports: Vec<ServiceCrashReport>) -> StateDigest {
        StateDigest {
            to: None,
            view: self.snapshot.view.number,
            content_hash: self.catalog.content_hash(),
            crash_reports,
        }
    }

    fn send_digest(&self, recipients: Vec<Recipient>, digest: &StateDigest) {
        let socket = Arc::clone(&self.gossip.socket);
        let counter = self.shared.metrics.digest_bytes.clone();
        let mut digest = digest.clone();
        tokio::spawn(async move {
            for (to, address) in recipients {
                digest.to = to;
                if let Ok(length_bytes) = socket.send(address, &digest).await {
                    counter.inc_by(length_bytes as u64);
                }
            }
        });
    }

    fn other_members(&self) -> Vec<Recipient> {
        let me = self.shared.me.id;
        let members = self.snapshot.view.members.iter();
        members
            .filter(|member| member.id != me)
            .map(|member| (Some(member.id), member.peer_address))
            .collect()
    }

    fn digest_recipients(&self) -> Vec<Recipient> {
        let mut recipients = self.other_members();
        if recipients.is_empty() || !self.snapshot.configured {
            let seed_peers = self.gossip.seed_peers.iter();
            recipients.extend(seed_peers.map(|&address| (None, address)));
        }
        recipients
            .sample(&mut rand::rng(), FANOUT)
            .copied()
            .collect()
    }

    pub(super) fn receive_digest(&mut self, from: SocketAddr, digest: StateDigest) {
        if digest.to.is_some_and(|id| id != self.shared.me.id) {
            return;
        }
        if !digest.crash_reports.is_empty() {
            // If the queue is full, these reports arrive again with a later digest.
            let _ = self.shared.crash_reports.try_send(digest.crash_reports);
        }
        let same_view = digest.view == self.snapshot.view.number;
        let is_in_sync = same_view && digest.content_hash == self.catalog.content_hash();
        let is_at_limit = self.gossip.exchanges.len() >= MAX_EXCHANGES;
        if is_in_sync || is_at_limit || !self.gossip.exchanges.insert(from) {
            return;
        }
        exchange::spawn(
            &self.shared,
            from,
            self.snapshot.view.number,
            self.catalog.summary(),
        );
    }

    pub(super) fn answer_sync(&self, view: ViewNumber, summary: &Summary) -> PeerResponse {
        let own_view = &self.snapshot.view;
        PeerResponse::Synced(Synced {
            view: (own_view.number > view).then(|| View::clone(own_view)),
            update: self.catalog.newer_than(summary, MAX_UPDATE_BYTES),
            configured: self.snapshot.configured,
            behind: view > own_view.number || self.catalog.is_behind(summary),
        })
    }

    pub(super) fn answer_offer(&mut self, view: Option<View>, update: Update) -> PeerResponse {
        if let Some(view) = view {
            self.apply_view(view);
        }
        if !update.is_empty() {
            self.apply_update(update);
        }
        PeerResponse::Acknowledged
    }
}
