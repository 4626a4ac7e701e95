//! Callers' requests about batch jobs: submit, read results and item bodies, end.

use std::rc::Rc;

use bytes::Bytes;
use hyper::StatusCode;
use wisteriapoint_directory::Route;

use super::response::{
    CallerResponse, account_full_response, body_response, stopping_response, store_unavailable,
    text_response,
};
use crate::dialect::Dialect;
use crate::event;
use crate::jobs::{Lookup, SubmitOutcome, end, read, submit_at_owner};
use crate::node::{Node, Stage};

/// Largest page of results, in bytes before encoding; the encoded page stays below 1 MB.
pub const MAX_PAGE_BYTES: usize = 700 << 10;

/// Submits a batch job and responds once it is stored.
pub async fn submit_job<D: Dialect>(
    node: &Rc<Node<D>>,
    route: &Route,
    id: &str,
    (host, path): (&str, &str),
    workspace: Option<&str>,
    body: Bytes,
) -> CallerResponse {
    if node.stage.get() == Stage::Stopping && !node.jobs.has_owner(id) {
        return stopping_response::<D>();
    }
    let max_items_bytes = node.intake.budget.max_reserved_bytes();
    let submission = match D::parse_submission(&body, max_items_bytes) {
        Ok(submission) => submission,
        Err(error) if error.is_too_large() => {
            node.record_refusal(id, "account-full");
            return account_full_response::<D>();
        }
        Err(error) => {
            event!(
                info,
                "batch job malformed; rejected",
                id = id,
                error = error
            );
            return text_response(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    match submit_at_owner(node, route, id, (host, path), workspace, body, submission).await {
        SubmitOutcome::Stored => body_response(StatusCode::ACCEPTED, "application/json", "{}"),
        SubmitOutcome::NotStored(reason) => {
            event!(
                info,
                "batch job not stored; caller may retry",
                id = id,
                verdict = "not-run",
                reason = reason
            );
            store_unavailable::<D>(&reason)
        }
        SubmitOutcome::Ambiguous(reason) => {
            event!(
                info,
                "batch job may have been stored; outcome ambiguous",
                id = id,
                verdict = "may-have-run",
                reason = reason
            );
            text_response(StatusCode::BAD_GATEWAY, &reason)
        }
    }
}

/// Returns the page of results that starts at position `after`, waiting up to `wait_ms` for one.
pub async fn read_results<D: Dialect>(
    node: &Rc<Node<D>>,
    (host, job): (&str, &str),
    after: u32,
    wait_ms: u64,
) -> CallerResponse {
    match read::results(node, (host, job), after, wait_ms).await {
        Lookup::Found(page) => {
            body_response(StatusCode::OK, "application/json", D::encode_page(&page))
        }
        Lookup::NotFound => text_response(StatusCode::NOT_FOUND, "no such batch job"),
        Lookup::Unavailable(reason) => store_unavailable::<D>(&reason),
    }
}

/// Returns the body of an item.
pub async fn read_item_body<D: Dialect>(
    node: &Rc<Node<D>>,
    (host, job): (&str, &str),
    item: &str,
) -> CallerResponse {
    match read::item_body(node, (host, job), item).await {
        Lookup::Found(body) => body_response(StatusCode::OK, "application/octet-stream", body),
        Lookup::NotFound => text_response(StatusCode::NOT_FOUND, "no such item"),
        Lookup::Unavailable(reason) => store_unavailable::<D>(&reason),
    }
}

/// Ends a batch job for its caller.
pub async fn end_job<D: Dialect>(node: &Rc<Node<D>>, (host, job): (&str, &str)) -> CallerResponse {
    match end::end(node, (host, job)).await {
        Lookup::Found(()) => body_response(StatusCode::OK, "application/json", "{}"),
        Lookup::NotFound => text_response(StatusCode::NOT_FOUND, "no such batch job"),
        Lookup::Unavailable(reason) => store_unavailable::<D>(&reason),
    }
}

/// Returns the response to a request about a batch job that its workspace may not access, as if there
/// were none; `None` if it may.
pub async fn check_access<D: Dialect>(
    node: &Rc<Node<D>>,
    (host, job): (&str, &str),
    workspace: Option<&str>,
) -> Option<CallerResponse> {
    match read::workspace(node, (host, job)).await {
        Lookup::Found(None) => None,
        Lookup::Found(owner) if owner.as_deref() == workspace => None,
        Lookup::Found(_) => {
            event!(
                info,
                "batch job of another workspace; answered as unknown",
                id = job,
                workspace = workspace.unwrap_or_default(),
            );
            Some(text_response(StatusCode::NOT_FOUND, "no such batch job"))
        }
        Lookup::NotFound => Some(text_response(StatusCode::NOT_FOUND, "no such batch job")),
        Lookup::Unavailable(reason) => Some(store_unavailable::<D>(&reason)),
    }
}
