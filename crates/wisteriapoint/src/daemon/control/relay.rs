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
use wisteriapoint_peer::Datagrams;
use wisteriapoint_types::ViewNumber;

use super::Control;
use crate::daemon::exchange;
use crate::daemon::message::{Digest, Reply, Synced};

const FANOUT: usize = 3;
const DIGEST_EVERY_TICKS: u64 = 50;
const EXCHANGES_AT_ONCE: usize = 3;
const UPDATE_BYTES: usize = 4 << 20;

/// State of the relay.
#[derive(Debug)]
pub(super) struct Relay {
    datagrams: Arc<Datagrams>,
    seed_peers: Vec<SocketAddr>,
    exchanging: BTreeSet<SocketAddr>,
    has_news: bool,
}

impl Relay {
    pub(super) fn new(datagrams: Arc<Datagrams>, seed_peers: Vec<SocketAddr>) -> Self {
        Self {
            datagrams,
            seed_peers,
            exchanging: BTreeSet::new(),
            has_news: false,
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
        let digest = Digest {
            view: self.snapshot.view.number,
            sum: self.catalog.sum(),
        };
        for address in self.digest_receivers() {
            let datagrams = Arc::clone(&self.relay.datagrams);
            let counter = self.shared.metrics.control_bytes.clone();
            tokio::spawn(async move {
                if let Ok(length_bytes) = datagrams.send(address, &digest).await {
                    counter.inc_by(length_bytes as u64);
                }
            });
        }
    }

    fn digest_receivers(&self) -> Vec<SocketAddr> {
        let me = self.shared.me.id;
        let members = self.snapshot.view.members.iter();
        let mut addresses: Vec<SocketAddr> = members
            .filter(|member| member.id != me)
            .map(|member| member.peer_address)
            .collect();
        if addresses.is_empty() || !self.snapshot.configured {
            addresses.extend(&self.relay.seed_peers);
        }
        addresses
            .sample(&mut rand::rng(), FANOUT)
            .copied()
            .collect()
    }

    pub(super) fn take_digest(&mut self, from: SocketAddr, digest: Digest) {
        let same_view = digest.view == self.snapshot.view.number;
        let is_same = same_view && digest.sum == self.catalog.sum();
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

    pub(super) fn answer_sync(&self, view: ViewNumber, known: &Summary) -> Reply {
        let mine = &self.snapshot.view;
        Reply::Synced(Synced {
            view: (mine.number > view).then(|| View::clone(mine)),
            update: self.catalog.newer_than(known, UPDATE_BYTES),
            configured: self.snapshot.configured,
            behind: view > mine.number || self.catalog.is_behind(known),
        })
    }

    pub(super) fn answer_offer(&mut self, view: Option<View>, update: Update) -> Reply {
        if let Some(view) = view {
            self.take_view(view);
        }
        if !update.is_empty() {
            self.take_update(update);
        }
        Reply::Noted
    }
}
