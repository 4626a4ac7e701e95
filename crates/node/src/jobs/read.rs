//! Reads and ends of batch jobs at any node.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};
use wisteriapoint_batch::{ItemResult, JobState, Owner, Page};
use wisteriapoint_store::{CommitOutcome, Error, Freshness, Transaction, TransactionalStore};

use super::takeover::{read_record, read_state, read_state_as};
use super::{Owned, commit, keys, takeover};
use crate::callers::batch::MAX_PAGE_BYTES;
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;
use crate::peers::{Question, Reply, ask};

/// Pause of a read of the store that found no new result: its reader asks again at once.
const STORE_READ_PAUSE: Duration = Duration::from_millis(400);
/// Times that the end of a batch job is tried against other changes of its row.
const MAX_END_TRIES: u32 = 6;
/// Pause between these.
const END_PAUSE: Duration = Duration::from_millis(200);

/// What was found.
#[derive(Debug)]
pub enum Found<T> {
    /// This.
    Yes(T),
    /// There is no such thing.
    No,
    /// It is not known.
    Unsure(Box<str>),
}

/// Results of a batch job, from whoever has them.
pub async fn results<D: Dialect>(
    node: &Rc<Node<D>>,
    job: &str,
    after: u32,
    wait_ms: u64,
) -> Found<Page> {
    if let Some(owned) = node.jobs.get(job) {
        let page = own_results(node, &owned, after, wait_ms).await;
        return confirmed(node, job, after, page, node.is_sure_owner(job)).await;
    }
    let question = Question::Results {
        job: job.into(),
        after,
        wait_ms,
    };
    match ask_owner(node, job, &question).await {
        Found::Yes(Owners::Answer(Reply::Page { page, is_sure })) => {
            confirmed(node, job, after, page, is_sure).await
        }
        Found::Yes(Owners::Answer(_)) => Found::Unsure("the owner failed".into()),
        Found::Yes(Owners::Away(state)) => stored_results(node, job, &state, after, wait_ms).await,
        Found::No => Found::No,
        Found::Unsure(why) => Found::Unsure(why),
    }
}

/// A page of an owner that may have lost the batch job without having noticed.
///
/// Positions never change, so results are right in any case; but if there are none, the
/// store has to say so.
async fn confirmed<D: Dialect>(
    node: &Rc<Node<D>>,
    job: &str,
    after: u32,
    page: Page,
    is_sure: bool,
) -> Found<Page> {
    if is_sure || !page.results.is_empty() {
        return Found::Yes(page);
    }
    node.jobs.set_owner(job, None);
    match read_state(node, job).await {
        Ok(Some((_, state))) if state.listed <= after => Found::Yes(page),
        Ok(Some((_, state))) => stored_results(node, job, &state, after, 0).await,
        Ok(None) => Found::No,
        Err(error) => Found::Unsure(error.to_string().into()),
    }
}

/// Results of a batch job of this node; waits for one if there is none yet.
pub async fn own_results<D: Dialect>(
    node: &Node<D>,
    owned: &Owned,
    after: u32,
    wait_ms: u64,
) -> Page {
    let end = node.clock.at(node.now_ms() + wait_ms);
    loop {
        let listed = owned.listed.notified();
        let page = owned.job.borrow().page(after, MAX_PAGE_BYTES);
        let is_last = !owned.is_open.get() || owned.job.borrow().is_all_listed();
        if !page.results.is_empty() || is_last {
            return page;
        }
        if tokio::time::timeout_at(end, listed).await.is_err() {
            return page;
        }
    }
}

/// The body of an item.
pub async fn body<D: Dialect>(node: &Rc<Node<D>>, job: &str, item: &str) -> Found<Vec<u8>> {
    if let Some(owned) = node.jobs.get(job) {
        return match owned.body(item) {
            Some(body) => Found::Yes(body),
            None => Found::No,
        };
    }
    let question = Question::Body {
        job: job.into(),
        item: item.into(),
    };
    match ask_owner(node, job, &question).await {
        Found::Yes(Owners::Answer(Reply::Body(body))) => Found::Yes(body),
        Found::Yes(Owners::Answer(Reply::Nothing)) => Found::No,
        Found::Yes(Owners::Answer(_)) => Found::Unsure("the owner failed".into()),
        Found::Yes(Owners::Away(_)) => stored_body::<D>(node, job, item).await,
        Found::No => Found::No,
        Found::Unsure(why) => Found::Unsure(why),
    }
}

/// Ends a batch job, at its owner or in the store.
pub async fn end<D: Dialect>(node: &Rc<Node<D>>, job: &str) -> Found<()> {
    let is_done = |is_done: bool| match is_done {
        true => Found::Yes(()),
        false => Found::Unsure("the store does not answer".into()),
    };
    if let Some(owned) = node.jobs.get(job) {
        return is_done(commit::end(node, &owned).await);
    }
    let question = Question::End { job: job.into() };
    match ask_owner(node, job, &question).await {
        Found::Yes(Owners::Answer(Reply::Done)) => Found::Yes(()),
        Found::Yes(_) => match end_in_store(node, job).await {
            Some(true) => Found::Yes(()),
            Some(false) => Found::No,
            None => Found::Unsure("the store does not answer".into()),
        },
        Found::No => Found::No,
        Found::Unsure(why) => Found::Unsure(why),
    }
}

/// Ends a batch job in the store; gives whether there is one, if that is known.
pub async fn end_in_store<D: Dialect>(node: &Node<D>, job: &str) -> Option<bool> {
    for _ in 0..MAX_END_TRIES {
        let (revision, state) = match read_state(node, job).await {
            Ok(None) => return Some(false),
            Ok(Some((_, state))) if !state.open => return Some(true),
            Ok(Some(row)) => row,
            Err(error) => {
                event!(warn, "end not stored", id = job, why = error);
                sleep(END_PAUSE).await;
                continue;
            }
        };
        let ended = JobState {
            open: false,
            nonce: rand::random(),
            ..state
        };
        let Ok(value) = serde_json::to_vec(&ended) else {
            return None;
        };
        let transaction = Transaction::new()
            .with_expected(keys::state(job), revision)
            .with_put(keys::state(job), value);
        let committed = node.store.commit(&transaction).await;
        node.note_store("end", &committed);
        match committed {
            Ok(CommitOutcome::Done(_)) => {
                event!(info, "batch job ended", id = job, by_owner = false);
                return Some(true);
            }
            Ok(_) => {}
            Err(error) => event!(warn, "end not stored", id = job, why = error),
        }
        sleep(END_PAUSE).await;
    }
    None
}

enum Owners {
    Answer(Reply),
    /// The owner does not answer; this is the row.
    Away(JobState),
}

/// Asks the owner that was met last, else the one that the store names.
async fn ask_owner<D: Dialect>(
    node: &Rc<Node<D>>,
    job: &str,
    question: &Question,
) -> Found<Owners> {
    let likely = match likely_owner(node, job).await {
        Ok(likely) => likely,
        Err(error) => return Found::Unsure(error.to_string().into()),
    };
    if let Some(owner) = likely {
        match ask(node, owner.address, question).await {
            Some(Reply::NotOwner) | None => node.jobs.set_owner(job, None),
            Some(reply) => {
                node.jobs.set_owner(job, Some(owner));
                return Found::Yes(Owners::Answer(reply));
            }
        }
    }
    let state = match read_state(node, job).await {
        Ok(Some((_, state))) => state,
        Ok(None) => return Found::No,
        Err(error) => return Found::Unsure(error.to_string().into()),
    };
    if state.owner == node.owner {
        // The row says that this run owns it, so nobody else will run it.
        takeover::adopt_own(node, job);
        return Found::Yes(Owners::Away(state));
    }
    match ask(node, state.owner.address, question).await {
        Some(Reply::NotOwner) | None => Found::Yes(Owners::Away(state)),
        Some(reply) => {
            node.jobs.set_owner(job, Some(state.owner));
            Found::Yes(Owners::Answer(reply))
        }
    }
}

/// The owner that was met last, else another node that a read of a tenth of the price names: it
/// says itself if it is not the owner.
async fn likely_owner<D: Dialect>(node: &Node<D>, job: &str) -> Result<Option<Owner>, Error> {
    if let Some(owner) = node.jobs.owner(job) {
        return Ok(Some(owner));
    }
    let state = read_state_as(node, job, Freshness::Stale).await?;
    let owner = state.map(|(_, state)| state.owner);
    Ok(owner.filter(|owner| *owner != node.owner))
}

async fn stored_results<D: Dialect>(
    node: &Node<D>,
    job: &str,
    state: &JobState,
    after: u32,
    wait_ms: u64,
) -> Found<Page> {
    if state.listed <= after {
        if state.open {
            sleep(STORE_READ_PAUSE.min(Duration::from_millis(wait_ms))).await;
        }
        return Found::Yes(Page {
            total: state.total,
            results: Vec::new(),
            next: after,
        });
    }
    match listed(node, job).await {
        Ok(listed) => Found::Yes(Page::from_listed(
            state.total,
            &listed,
            after,
            MAX_PAGE_BYTES,
        )),
        Err(why) => Found::Unsure(why),
    }
}

/// All listed results of a batch job, from the store.
pub async fn listed<D: Dialect>(node: &Node<D>, job: &str) -> Result<Vec<ItemResult>, Box<str>> {
    let rows = node
        .store
        .range(&keys::results(job), Freshness::Linearizable)
        .await;
    node.note_store("results", &rows);
    let (rows, _) = rows.map_err(|error| error.to_string())?;
    let mut results = Vec::new();
    for row in rows {
        let some: Vec<ItemResult> =
            postcard::from_bytes(&row.value).map_err(|error| error.to_string())?;
        results.extend(some);
    }
    Ok(results)
}

async fn stored_body<D: Dialect>(node: &Node<D>, job: &str, item: &str) -> Found<Vec<u8>> {
    const READ_TIMEOUT: Duration = Duration::from_secs(2);
    let record = match timeout(READ_TIMEOUT, read_record(node, job)).await {
        Ok(Ok(Some(record))) => record,
        Ok(Ok(None)) => return Found::No,
        Ok(Err(why)) => return Found::Unsure(why),
        Err(_) => return Found::Unsure("the store is slow".into()),
    };
    match D::submission(&record.body) {
        Ok(submission) => {
            let mut items = submission.items.into_iter();
            match items.find(|other| &*other.id == item) {
                Some(item) => Found::Yes(item.body),
                None => Found::No,
            }
        }
        Err(error) => Found::Unsure(error.to_string().into()),
    }
}
