//! Reads of batch jobs, which every node serves.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{sleep, timeout};
use wisteriapoint_batch::placement::ranked_owners;
use wisteriapoint_batch::{BodyRange, ItemResult, JobState, Owner, Page};
use wisteriapoint_directory::{Route, RouteKind};
use wisteriapoint_store::{Error, Freshness, TransactionalStore};

use super::body::{BodyError, ReadParts, ReadRecord, read_record};
use super::takeover::{read_state, read_state_as};
use super::{OwnedJob, keys, takeover};
use crate::callers::batch::MAX_PAGE_BYTES;
use crate::dialect::Dialect;
use crate::node::Node;
use crate::peers::{PeerRequest, PeerResponse, call_peer, call_peer_within};

/// Pause before an empty page is returned for a read from the store, as the reader repeats the read
/// at once.
const EMPTY_READ_PAUSE: Duration = Duration::from_millis(400);

/// Time for the answer of a node that is asked whether it owns a batch job: some network hops.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of routes of one host whose owners are asked; with more, a read of the store is cheaper.
const MAX_ASKED_OWNERS: usize = 3;

/// Result of an operation on a batch job or one of its items.
#[derive(Debug)]
pub enum Lookup<T> {
    /// It exists, and the operation has this result.
    Found(T),
    /// There is no such batch job or item.
    NotFound,
    /// The store or the owner did not answer, for the given reason, so the result is ambiguous.
    Unavailable(Box<str>),
}

/// Returns a page of the results of a batch job, from this node, the owner or the store.
pub async fn results<D: Dialect>(
    node: &Rc<Node<D>>,
    (host, job): (&str, &str),
    after: u32,
    wait_ms: u64,
) -> Lookup<Page> {
    if let Some(owned) = node.jobs.get(job) {
        let page = own_results(node, &owned, after, wait_ms).await;
        return confirm_page(node, job, after, page, node.is_definite_owner(job)).await;
    }
    let query = PeerRequest::Results {
        job: job.into(),
        after,
        wait_ms,
    };
    match query_owner(node, (host, job), &query).await {
        Lookup::Found(OwnerResponse::Answered(PeerResponse::Page { page, is_definite })) => {
            confirm_page(node, job, after, page, is_definite).await
        }
        Lookup::Found(OwnerResponse::Answered(_)) => Lookup::Unavailable("the owner failed".into()),
        Lookup::Found(OwnerResponse::NoResponse(state)) => {
            stored_results(node, job, &state, after, wait_ms).await
        }
        Lookup::NotFound => Lookup::NotFound,
        Lookup::Unavailable(reason) => Lookup::Unavailable(reason),
    }
}

/// Confirms a page from an owner that may no longer own the batch job without having noticed.
///
/// Positions never change, so results are correct in any case, but an empty page has to be
/// confirmed by the store.
async fn confirm_page<D: Dialect>(
    node: &Rc<Node<D>>,
    job: &str,
    after: u32,
    page: Page,
    is_definite_owner: bool,
) -> Lookup<Page> {
    if is_definite_owner || !page.results.is_empty() {
        return Lookup::Found(page);
    }
    node.jobs.set_cached_owner(job, None);
    match read_state(node, job).await {
        Ok(Some((_, state))) if state.listed <= after => Lookup::Found(page),
        Ok(Some((_, state))) => stored_results(node, job, &state, after, 0).await,
        Ok(None) => Lookup::NotFound,
        Err(error) => Lookup::Unavailable(error.to_string().into()),
    }
}

/// Returns a page of the results of a batch job that this node owns; waits up to `wait_ms` for a
/// result if there is none yet.
pub async fn own_results<D: Dialect>(
    node: &Node<D>,
    owned: &OwnedJob,
    after: u32,
    wait_ms: u64,
) -> Page {
    let end = node.clock.instant_at(node.now_ms() + wait_ms);
    loop {
        let newly_listed = owned.results_listed.notified();
        let page = owned.job.borrow().page(after, MAX_PAGE_BYTES);
        let is_last = !owned.is_open.get() || owned.job.borrow().is_all_listed();
        if !page.results.is_empty() || is_last {
            return page;
        }
        if tokio::time::timeout_at(end, newly_listed).await.is_err() {
            return page;
        }
    }
}

/// Returns the request body of an item, from this node, the owner or the store.
pub async fn item_body<D: Dialect>(
    node: &Rc<Node<D>>,
    (host, job): (&str, &str),
    item: &str,
) -> Lookup<Bytes> {
    if let Some(owned) = node.jobs.get(job) {
        return own_body(node, &owned, item).await;
    }
    let query = PeerRequest::Body {
        job: job.into(),
        item: item.into(),
    };
    match query_owner(node, (host, job), &query).await {
        Lookup::Found(OwnerResponse::Answered(PeerResponse::Body(body))) => {
            Lookup::Found(body.into())
        }
        Lookup::Found(OwnerResponse::Answered(PeerResponse::NotFound)) => Lookup::NotFound,
        Lookup::Found(OwnerResponse::Answered(_)) => Lookup::Unavailable("the owner failed".into()),
        Lookup::Found(OwnerResponse::NoResponse(_)) => stored_body::<D>(node, job, item).await,
        Lookup::NotFound => Lookup::NotFound,
        Lookup::Unavailable(reason) => Lookup::Unavailable(reason),
    }
}

/// Returns the workspace that submitted a batch job, from this node or the store; `None` if it has none.
pub async fn workspace<D: Dialect>(
    node: &Node<D>,
    (host, job): (&str, &str),
) -> Lookup<Option<Box<str>>> {
    if let Some(workspace) = node.jobs.workspace(job) {
        return Lookup::Found(workspace);
    }
    if ask_preferred_owners(node, (host, job)).await.is_some()
        && let Some(workspace) = node.jobs.workspace(job)
    {
        return Lookup::Found(workspace);
    }
    // A stale read may miss a new batch job.
    for freshness in [Freshness::Stale, Freshness::Linearizable] {
        match read_state_as(node, job, freshness).await {
            Ok(Some((_, state))) => {
                node.jobs.record_workspace(job, state.workspace.clone());
                if state.owner != node.owner && node.jobs.cached_owner(job).is_none() {
                    node.jobs.set_cached_owner(job, Some(state.owner));
                }
                return Lookup::Found(state.workspace);
            }
            Ok(None) => {}
            Err(error) => return Lookup::Unavailable(error.to_string().into()),
        }
    }
    Lookup::NotFound
}

/// Response of the owner of a batch job to a query.
pub enum OwnerResponse {
    /// The owner answered.
    Answered(PeerResponse),
    /// The owner according to the store did not answer or does not run the batch job; contains the
    /// state from the store.
    NoResponse(JobState),
}

/// Sends a query to the likely owner, and then to the owner according to the store if the first one
/// did not answer or is not the owner.
pub async fn query_owner<D: Dialect>(
    node: &Rc<Node<D>>,
    (host, job): (&str, &str),
    query: &PeerRequest,
) -> Lookup<OwnerResponse> {
    let likely = match likely_owner(node, (host, job)).await {
        Ok(likely) => likely,
        Err(error) => return Lookup::Unavailable(error.to_string().into()),
    };
    let mut silent = None;
    if let Some(owner) = likely {
        match call_peer(node, owner.address, query).await {
            Some(PeerResponse::NotOwner) => node.jobs.set_cached_owner(job, None),
            None => {
                node.jobs.set_cached_owner(job, None);
                silent = Some(owner);
            }
            Some(response) => {
                node.jobs.set_cached_owner(job, Some(owner));
                return Lookup::Found(OwnerResponse::Answered(response));
            }
        }
    }
    let state = match read_state(node, job).await {
        Ok(Some((_, state))) => state,
        Ok(None) => return Lookup::NotFound,
        Err(error) => return Lookup::Unavailable(error.to_string().into()),
    };
    if state.owner == node.owner {
        // No other node runs the batch job, since this run owns it according to the store.
        takeover::spawn_acquire_own(node, job);
        return Lookup::Found(OwnerResponse::NoResponse(state));
    }
    if silent.as_ref() == Some(&state.owner) {
        return Lookup::Found(OwnerResponse::NoResponse(state));
    }
    match call_peer(node, state.owner.address, query).await {
        Some(PeerResponse::NotOwner) | None => Lookup::Found(OwnerResponse::NoResponse(state)),
        Some(response) => {
            node.jobs.set_cached_owner(job, Some(state.owner));
            Lookup::Found(OwnerResponse::Answered(response))
        }
    }
}

/// Returns the node other than this one that owns the batch jobs of a route, as far as this node knows
/// the members; `None` if the settings state no processor share, and nodes own what they receive.
pub fn preferred_owner<D: Dialect>(node: &Node<D>, route: &Route) -> Option<SocketAddr> {
    node.settings.cpu_share?;
    let capacities = node.capacities.borrow();
    let own = node.owner.address;
    let responsive = node.suspects.peers.responsive(node.now_ms());
    let others = responsive.into_iter().filter(|address| *address != own);
    let others = others.map(|address| (address, capacities.get(&address).copied().flatten()));
    let candidates: Vec<_> = others.chain([(own, node.settings.cpu_share)]).collect();
    let key = format!("{}{}", route.host, route.prefix);
    let first = ranked_owners(&key, &candidates).into_iter().next();
    first.filter(|address| *address != own)
}

/// Returns the cached owner, or else the owner of the batch jobs of the host's routes if it has this one,
/// or else the owner according to a stale read if that is another node.
///
/// A stale read costs a tenth of a linearizable one. A node that is not the owner says so in its
/// response.
async fn likely_owner<D: Dialect>(
    node: &Node<D>,
    (host, job): (&str, &str),
) -> Result<Option<Owner>, Error> {
    if let Some(owner) = node.jobs.cached_owner(job) {
        return Ok(Some(owner));
    }
    if let Some(owner) = ask_preferred_owners(node, (host, job)).await {
        return Ok(Some(owner));
    }
    let state = read_state_as(node, job, Freshness::Stale).await?;
    let owner = state.map(|(_, state)| state.owner);
    Ok(owner.filter(|owner| *owner != node.owner))
}

/// Asks the nodes that own the batch jobs of a host's routes whether they own one; caches the owner and
/// the workspace.
async fn ask_preferred_owners<D: Dialect>(
    node: &Node<D>,
    (host, job): (&str, &str),
) -> Option<Owner> {
    let configuration = node.configuration()?;
    let routes = configuration.routes.iter();
    let routes = routes.filter(|route| route.kind == RouteKind::Rollout && *route.host == *host);
    let mut asked = BTreeSet::new();
    for route in routes.take(MAX_ASKED_OWNERS) {
        let Some(address) = preferred_owner(node, route).filter(|&address| asked.insert(address))
        else {
            continue;
        };
        let query = PeerRequest::Owns { job: job.into() };
        match call_peer_within(node, address, &query, ASK_TIMEOUT).await {
            Some(PeerResponse::Owns { owner, workspace }) => {
                node.jobs.record_workspace(job, workspace);
                node.jobs.set_cached_owner(job, Some(owner.clone()));
                return Some(owner);
            }
            Some(_) => {}
            None => node.suspects.peers.record_silence(node.now_ms(), address),
        }
    }
    None
}

async fn stored_results<D: Dialect>(
    node: &Node<D>,
    job: &str,
    state: &JobState,
    after: u32,
    wait_ms: u64,
) -> Lookup<Page> {
    if state.listed <= after {
        if state.open {
            sleep(EMPTY_READ_PAUSE.min(Duration::from_millis(wait_ms))).await;
        }
        return Lookup::Found(Page {
            total: state.total,
            results: Vec::new(),
            next: after,
        });
    }
    match listed_results(node, job).await {
        Ok(listed) => Lookup::Found(Page::from_listed(
            state.total,
            &listed,
            after,
            MAX_PAGE_BYTES,
        )),
        Err(error) => Lookup::Unavailable(error),
    }
}

/// Reads all listed results of a batch job from the store.
///
/// # Errors
///
/// Fails if the store does not answer or a row is malformed.
pub async fn listed_results<D: Dialect>(
    node: &Node<D>,
    job: &str,
) -> Result<Vec<ItemResult>, Box<str>> {
    let rows = node
        .store
        .range(&keys::results_prefix(job), Freshness::Linearizable)
        .await;
    node.record_store_call("results", &rows);
    let (rows, _) = rows.map_err(|error| error.to_string())?;
    let mut results = Vec::new();
    for row in rows {
        let batch: Vec<ItemResult> =
            postcard::from_bytes(&row.value).map_err(|error| error.to_string())?;
        results.extend(batch);
    }
    Ok(results)
}

async fn stored_body<D: Dialect>(node: &Node<D>, job: &str, item: &str) -> Lookup<Bytes> {
    const READ_TIMEOUT: Duration = Duration::from_secs(2);
    let account = (&node.intake.budget, node.now_ms());
    let read = timeout(READ_TIMEOUT, read_record(node, account, job)).await;
    let body = match read {
        Ok(Ok(Some(ReadRecord { body, .. }))) => body,
        Ok(Ok(None)) => return Lookup::NotFound,
        Ok(Err(error)) => return Lookup::Unavailable(error.to_string().into()),
        Err(_) => return Lookup::Unavailable("the store is slow".into()),
    };
    let max_items_bytes = node.intake.budget.max_reserved_bytes();
    let decoded = D::parse_submission(&body, max_items_bytes).and_then(|submission| {
        let mut items = submission.items.iter();
        let item = items.find(|other| &*other.id == item);
        item.map(|item| D::decode_body(&body[item.body.start..item.body.end]))
            .transpose()
    });
    match decoded {
        Ok(Some(decoded)) => Lookup::Found(decoded.into()),
        Ok(None) => Lookup::NotFound,
        Err(error) => Lookup::Unavailable(error.to_string().into()),
    }
}

impl<D: Dialect> ReadParts for Node<D> {
    async fn read_part(&self, job: &str, part: usize) -> Result<Option<Vec<u8>>, Error> {
        // Fails only once the semaphore is closed, which it never is.
        let _permit = self.intake.part_transfers.acquire().await.ok();
        // A part never changes once the batch job is stored, but a stale read may miss a new one.
        for freshness in [Freshness::Stale, Freshness::Linearizable] {
            let row = self
                .store
                .row(&keys::record_part(job, part), freshness)
                .await;
            self.record_store_call("record", &row);
            if let Some(row) = row?.0 {
                return Ok(Some(row.value));
            }
        }
        Ok(None)
    }
}

/// Returns the request body of an item of a batch job that this node owns.
pub async fn own_body<D: Dialect>(node: &Node<D>, owned: &OwnedJob, item: &str) -> Lookup<Bytes> {
    let Some(range) = owned.body_range(item) else {
        return Lookup::NotFound;
    };
    match decoded_body(node, owned, range).await {
        Ok(body) => Lookup::Found(body.into()),
        Err(error) => Lookup::Unavailable(error.to_string().into()),
    }
}

/// Returns the body of a request of a batch job, which counts until it is dropped.
///
/// # Errors
///
/// Fails if it can't be read from the store, or if other bodies being sent take up the room.
pub async fn body_to_send<D: Dialect>(
    node: &Node<D>,
    owned: &OwnedJob,
    range: BodyRange,
) -> Result<Bytes, BodyError> {
    // The decoded body is no longer than its text.
    if !node.intake.budget.can_send(range.end - range.start) {
        return Err(BodyError::NoRoom);
    }
    let body = decoded_body(node, owned, range).await?;
    Ok(node.intake.budget.keep_for_send(body.into())?)
}

async fn decoded_body<D: Dialect>(
    node: &Node<D>,
    owned: &OwnedJob,
    range: BodyRange,
) -> Result<Vec<u8>, BodyError> {
    let account = (&node.intake.budget, node.now_ms());
    let text = owned.body.text(node, account, &owned.id, range).await?;
    let body = D::decode_body(&text);
    Ok(body.map_err(|error| Error::Malformed(error.to_string().into()))?)
}
