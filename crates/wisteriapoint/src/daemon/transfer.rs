//! Transfer of claims from the holders of earlier views; runs on the traffic threads.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_util::future::join_all;
use futures_util::{StreamExt, stream};
use tokio::time::{Instant, sleep};
use wisteriapoint_claim::{Page, Progress, Pull, Seal, Transfer};
use wisteriapoint_membership::View;
use wisteriapoint_store::Store;
use wisteriapoint_types::{MemberId, PartitionId};

use super::Shared;
use super::control::Command;
use super::message::{AddressedRequest, PeerRequest, PeerResponse};

const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
const TRANSFERRED_TIMEOUT: Duration = Duration::from_millis(500);
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_000);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const VM_LIST_LAG: Duration = Duration::from_secs(60);
const VM_LIST_PAUSE: Duration = Duration::from_secs(5);
const MAX_CONCURRENT_PULLS: usize = 16;

/// A running collection of the claims that this daemon holds in one view.
struct ClaimCollection {
    shared: Arc<Shared>,
    view: Arc<View>,
    /// Previous members whose VMs are no longer in the platform's list.
    unlisted: ArcSwap<BTreeSet<MemberId>>,
}

/// Collects the claims of all partitions that this daemon holds in a view, in the background.
pub fn spawn(shared: Arc<Shared>, view: Arc<View>) {
    let traffic = shared.traffic.clone();
    let collection = ClaimCollection {
        shared,
        view,
        unlisted: ArcSwap::default(),
    };
    traffic.spawn(async move {
        tokio::select! {
            () = collection.pull_all() => {}
            () = collection.watch_vms() => {}
        }
    });
}

/// Returns the proposed view `next` without the records of the views before `current`, if the
/// members of `current` have all claims of those views; otherwise returns it unchanged.
pub async fn trim_earlier_views(shared: &Arc<Shared>, current: &View, next: View) -> View {
    match current.earlier.is_empty() || !is_transferred(shared, current).await {
        true => next,
        false => next.without_views_before(current.number),
    }
}

async fn is_transferred(shared: &Arc<Shared>, view: &View) -> bool {
    let calls = view.members.iter().map(|member| async {
        let addressed = AddressedRequest {
            to: Some(member.id),
            request: PeerRequest::Transferred(view.number),
        };
        let address = member.peer_address;
        let call = shared.peers.call(address, &addressed, TRANSFERRED_TIMEOUT);
        let is_open = matches!(call.await, Ok(PeerResponse::Transferred(true)));
        is_open.then_some(member.id)
    });
    let open: BTreeSet<MemberId> = join_all(calls).await.into_iter().flatten().collect();
    view.is_transferred(&open)
}

/// Waits until the members of the next view have the claims of this daemon, up to a timeout.
pub async fn wait_for_hand_over(shared: &Arc<Shared>, next: View) {
    let deadline = Instant::now() + HAND_OVER_TIMEOUT;
    while Instant::now() < deadline && !is_transferred(shared, &next).await {
        sleep(RETRY_PAUSE).await;
    }
}

/// Response of a daemon that held a partition in an earlier view.
enum SourceResponse {
    /// All pages of its claims.
    Pages(Vec<Page>),
    /// The run has definitely terminated.
    Terminated,
    /// No response; the daemon may only be slow.
    NoResponse,
}

fn record_response(pull: &mut Pull, id: MemberId, response: SourceResponse) {
    match response {
        SourceResponse::Pages(pages) => pages.into_iter().for_each(|page| pull.add_page(id, page)),
        SourceResponse::Terminated => pull.mark_terminated(id),
        SourceResponse::NoResponse => {}
    }
}

impl ClaimCollection {
    async fn pull_all(&self) {
        let partitions: Vec<PartitionId> =
            self.view.partitions_held_by(self.shared.me.id).collect();
        stream::iter(partitions)
            .for_each_concurrent(MAX_CONCURRENT_PULLS, |partition| self.pull(partition))
            .await;
        if self.is_latest() {
            self.send_command(Command::Transferred(self.view.number))
                .await;
        }
    }

    async fn watch_vms(&self) {
        sleep(VM_LIST_LAG).await;
        loop {
            if let Ok(vms) = self.shared.store.vms().await {
                let listed = vms.into_iter().map(|entry| entry.vm).collect();
                let unlisted = self.view.unlisted(&self.shared.me.vm, &listed);
                self.unlisted.store(Arc::new(unlisted));
            }
            sleep(VM_LIST_PAUSE).await;
        }
    }

    async fn pull(&self, partition: PartitionId) {
        let mut pull = Pull::new(&self.view, partition);
        while self.is_latest() {
            match pull.progress(self.shared.clock.now_ms()) {
                Progress::Pending(missing) => self.pull_from(&mut pull, partition, missing).await,
                Progress::Complete(transfer) => {
                    return self.open(partition, "whole", transfer).await;
                }
                Progress::Lost(transfer) => return self.open(partition, "lost", transfer).await,
            }
        }
    }

    async fn pull_from(&self, pull: &mut Pull, partition: PartitionId, missing: Vec<MemberId>) {
        let sources = missing.into_iter();
        let calls = sources.map(|id| async move { (id, self.request_pages(partition, id).await) });
        for (id, response) in join_all(calls).await {
            record_response(pull, id, response);
        }
        if let Progress::Pending(_) = pull.progress(self.shared.clock.now_ms()) {
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn request_pages(&self, partition: PartitionId, id: MemberId) -> SourceResponse {
        let mut pages: Vec<Page> = Vec::new();
        loop {
            let seal = Seal {
                view: self.view.number,
                partition,
                after: pages.last().and_then(|page| page.next.clone()),
            };
            match self.request_page(id, seal).await {
                Ok(page) => pages.push(page),
                Err(response) => return response,
            }
            if pages.last().is_some_and(|page| page.next.is_none()) {
                return SourceResponse::Pages(pages);
            }
        }
    }

    async fn request_page(&self, id: MemberId, seal: Seal) -> Result<Page, SourceResponse> {
        let shared = &self.shared;
        let is_terminated = self.view.is_replaced(id) || self.unlisted.load().contains(&id);
        let request = PeerRequest::Seal { source: id, seal };
        let response = match self.view.current_or_previous(id) {
            _ if id == shared.me.id => shared.call_control(request, PAGE_TIMEOUT).await,
            _ if is_terminated => return Err(SourceResponse::Terminated),
            None => None,
            Some(member) => {
                // Not addressed to a member: another run at this address then also responds, which
                // proves that the member's run has terminated.
                let addressed = AddressedRequest { to: None, request };
                let address = member.peer_address;
                let called = shared.peers.call(address, &addressed, PAGE_TIMEOUT);
                match called.await {
                    Err(error) if error.is_connection_refused() => {
                        return Err(SourceResponse::Terminated);
                    }
                    called => called.ok(),
                }
            }
        };
        match response {
            Some(PeerResponse::Page(Some(page))) => Ok(page),
            Some(PeerResponse::Page(None)) => Err(SourceResponse::Terminated),
            _ => Err(SourceResponse::NoResponse),
        }
    }

    async fn open(&self, partition: PartitionId, result: &str, transfer: Transfer) {
        let transfers = &self.shared.metrics.transfers;
        transfers.with_label_values(&[result]).inc();
        self.send_command(Command::OpenPartition(
            self.view.number,
            partition,
            transfer,
        ))
        .await;
    }

    async fn send_command(&self, command: Command) {
        // The send fails only when the daemon stops.
        let _ = self.shared.control.send(command).await;
    }

    fn is_latest(&self) -> bool {
        self.shared.snapshot.load().view.number == self.view.number
    }
}
