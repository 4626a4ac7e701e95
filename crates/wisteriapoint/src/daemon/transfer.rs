//! The transfer of claims to a new holder, outside control.

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
use super::message::{Addressed, Question, Reply};

const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
const TRANSFERRED_TIMEOUT: Duration = Duration::from_millis(500);
const HAND_OVER_LIMIT: Duration = Duration::from_millis(1_000);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const VM_LIST_LAG: Duration = Duration::from_secs(60);
const VM_LIST_PAUSE: Duration = Duration::from_secs(5);
const PULLS_AT_ONCE: usize = 16;

/// A view whose claims are being collected.
struct Collection {
    shared: Arc<Shared>,
    view: Arc<View>,
    /// Former members whose VMs the platform lists no more.
    unlisted: ArcSwap<BTreeSet<MemberId>>,
}

/// Collects the claims of all partitions that this daemon holds in a view.
pub fn spawn(shared: Arc<Shared>, view: Arc<View>) {
    let traffic = shared.traffic.clone();
    let collection = Collection {
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

/// Drops from a proposed view the records of views whose claims have been transferred.
pub async fn trim(shared: &Arc<Shared>, held: &View, next: View) -> View {
    match held.earlier.is_empty() || !is_transferred(shared, held).await {
        true => next,
        false => next.without_views_before(held.number),
    }
}

async fn is_transferred(shared: &Arc<Shared>, view: &View) -> bool {
    let asked = view.members.iter().map(|member| async {
        let addressed = Addressed {
            to: Some(member.id),
            question: Question::Transferred(view.number),
        };
        let address = member.peer_address;
        let call = shared.peers.call(address, &addressed, TRANSFERRED_TIMEOUT);
        let is_open = matches!(call.await, Ok(Reply::Transferred(true)));
        is_open.then_some(member.id)
    });
    let open: BTreeSet<MemberId> = join_all(asked).await.into_iter().flatten().collect();
    view.is_transferred(&open)
}

/// Waits until the claims of a leaving daemon are with the members of the next view.
pub async fn hand_over(shared: &Arc<Shared>, next: View) {
    let limit = Instant::now() + HAND_OVER_LIMIT;
    while Instant::now() < limit && !is_transferred(shared, &next).await {
        sleep(RETRY_PAUSE).await;
    }
}

/// What a source said.
enum Source {
    /// All its pages.
    Pages(Vec<Page>),
    /// Its run is over for certain.
    Gone,
    /// Nothing; it may be slow.
    Silent,
}

fn note(pull: &mut Pull, id: MemberId, answer: Source) {
    match answer {
        Source::Pages(pages) => pages.into_iter().for_each(|page| pull.add_page(id, page)),
        Source::Gone => pull.mark_terminated(id),
        Source::Silent => {}
    }
}

impl Collection {
    async fn pull_all(&self) {
        let held: Vec<PartitionId> = self.view.partitions_held_by(self.shared.me.id).collect();
        stream::iter(held)
            .for_each_concurrent(PULLS_AT_ONCE, |key| self.pull(key))
            .await;
        if self.is_latest() {
            self.tell(Command::Transferred(self.view.number)).await;
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

    async fn pull(&self, key: PartitionId) {
        let mut pull = Pull::new(&self.view, key);
        while self.is_latest() {
            match pull.progress(self.shared.clock.now_ms()) {
                Progress::Pending(missing) => self.pull_from(&mut pull, key, missing).await,
                Progress::Complete(transfer) => return self.open(key, "whole", transfer).await,
                Progress::Lost(transfer) => return self.open(key, "lost", transfer).await,
            }
        }
    }

    async fn pull_from(&self, pull: &mut Pull, key: PartitionId, missing: Vec<MemberId>) {
        let sources = missing.into_iter();
        let asked = sources.map(|id| async move { (id, self.ask(key, id).await) });
        for (id, answer) in join_all(asked).await {
            note(pull, id, answer);
        }
        if let Progress::Pending(_) = pull.progress(self.shared.clock.now_ms()) {
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn ask(&self, key: PartitionId, id: MemberId) -> Source {
        let mut pages: Vec<Page> = Vec::new();
        loop {
            let seal = Seal {
                view: self.view.number,
                partition: key,
                after: pages.last().and_then(|page| page.next.clone()),
            };
            match self.ask_page(id, seal).await {
                Ok(page) => pages.push(page),
                Err(source) => return source,
            }
            if pages.last().is_some_and(|page| page.next.is_none()) {
                return Source::Pages(pages);
            }
        }
    }

    async fn ask_page(&self, id: MemberId, seal: Seal) -> Result<Page, Source> {
        let shared = &self.shared;
        let is_over = self.view.is_replaced(id) || self.unlisted.load().contains(&id);
        let question = Question::Seal { source: id, seal };
        let reply = match self.view.current_or_previous(id) {
            _ if id == shared.me.id => shared.ask_self(question, PAGE_TIMEOUT).await,
            _ if is_over => return Err(Source::Gone),
            None => None,
            Some(member) => {
                // Another run at the address answers too: that it is another tells of the end.
                let addressed = Addressed { to: None, question };
                let address = member.peer_address;
                let called = shared.peers.call(address, &addressed, PAGE_TIMEOUT);
                match called.await {
                    Err(error) if error.is_refused() => return Err(Source::Gone),
                    called => called.ok(),
                }
            }
        };
        match reply {
            Some(Reply::Page(Some(page))) => Ok(page),
            Some(Reply::Page(None)) => Err(Source::Gone),
            _ => Err(Source::Silent),
        }
    }

    async fn open(&self, key: PartitionId, result: &str, transfer: Transfer) {
        let transfers = &self.shared.metrics.transfers;
        transfers.with_label_values(&[result]).inc();
        self.tell(Command::Open(self.view.number, key, transfer))
            .await;
    }

    async fn tell(&self, command: Command) {
        // Control is gone only when the daemon stops.
        let _ = self.shared.control.send(command).await;
    }

    fn is_latest(&self) -> bool {
        self.shared.snapshot.load().view.number == self.view.number
    }
}
