//! The transfer of claims to a new holder, outside control.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use futures_util::{StreamExt, stream};
use tokio::time::{Instant, sleep};
use wisteriapoint_claim::{Page, Progress, Pull, Seal, Transfer};
use wisteriapoint_membership::View;
use wisteriapoint_types::{MemberId, PartitionKey};

use super::Shared;
use super::control::Command;
use super::message::{Question, Reply};

const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
const TRANSFERRED_TIMEOUT: Duration = Duration::from_millis(500);
const HAND_OVER_LIMIT: Duration = Duration::from_millis(1_000);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const PULLS_AT_ONCE: usize = 16;

/// Collects the claims of all partitions that this daemon holds in a view.
pub fn spawn(shared: Arc<Shared>, view: Arc<View>) {
    let traffic = shared.traffic.clone();
    traffic.spawn(async move {
        let held: Vec<PartitionKey> = view.held_by(shared.me.id).collect();
        stream::iter(held)
            .for_each_concurrent(PULLS_AT_ONCE, |key| pull(&shared, &view, key))
            .await;
        if is_latest(&shared, &view) {
            tell(&shared, Command::Transferred(view.number)).await;
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
        let question = Question::Transferred(view.number);
        let address = member.peer_address;
        let call = shared.peers.call(address, &question, TRANSFERRED_TIMEOUT);
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

async fn pull(shared: &Arc<Shared>, view: &Arc<View>, key: PartitionKey) {
    let mut pull = Pull::new(view, key);
    while is_latest(shared, view) {
        match pull.progress(shared.clock.now_ms()) {
            Progress::Pending(missing) => {
                let sources = missing.into_iter();
                let asked = sources.map(|id| async move { (id, ask(shared, view, key, id).await) });
                for (id, answer) in join_all(asked).await {
                    note(&mut pull, id, answer);
                }
            }
            Progress::Whole(transfer) => return open(shared, view, key, "whole", transfer).await,
            Progress::Lost(transfer) => return open(shared, view, key, "lost", transfer).await,
        }
        if let Progress::Pending(_) = pull.progress(shared.clock.now_ms()) {
            sleep(RETRY_PAUSE).await;
        }
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
        Source::Pages(pages) => pages.into_iter().for_each(|page| pull.take(id, page)),
        Source::Gone => pull.note_gone(id),
        Source::Silent => {}
    }
}

async fn ask(shared: &Arc<Shared>, view: &View, key: PartitionKey, id: MemberId) -> Source {
    let mut pages: Vec<Page> = Vec::new();
    loop {
        let seal = Seal {
            view: view.number,
            partition: key,
            after: pages.last().and_then(|page| page.next.clone()),
        };
        match ask_page(shared, view, id, seal).await {
            Ok(page) => pages.push(page),
            Err(source) => return source,
        }
        if pages.last().is_some_and(|page| page.next.is_none()) {
            return Source::Pages(pages);
        }
    }
}

async fn ask_page(
    shared: &Arc<Shared>,
    view: &View,
    id: MemberId,
    seal: Seal,
) -> Result<Page, Source> {
    let question = Question::Seal { source: id, seal };
    let reply = match view.known(id) {
        _ if id == shared.me.id => shared.ask_self(question, PAGE_TIMEOUT).await,
        _ if view.is_replaced(id) => return Err(Source::Gone),
        None => None,
        Some(member) => {
            let called = shared
                .peers
                .call(member.peer_address, &question, PAGE_TIMEOUT);
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

async fn open(
    shared: &Arc<Shared>,
    view: &View,
    key: PartitionKey,
    result: &str,
    transfer: Transfer,
) {
    let transfers = &shared.metrics.transfers;
    transfers.with_label_values(&[result]).inc();
    tell(shared, Command::Open(view.number, key, transfer)).await;
}

async fn tell(shared: &Arc<Shared>, command: Command) {
    // Control is gone only when the daemon stops.
    let _ = shared.control.send(command).await;
}

fn is_latest(shared: &Arc<Shared>, view: &View) -> bool {
    shared.snapshot.load().view.number == view.number
}
