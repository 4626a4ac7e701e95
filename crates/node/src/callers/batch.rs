//! Callers' calls about batch jobs.

use std::rc::Rc;

use bytes::Bytes;
use hyper::StatusCode;
use wisteriapoint_directory::Route;

use super::answer::{Answer, not_run, store_away, text, whole};
use crate::dialect::Dialect;
use crate::event;
use crate::jobs::{Lookup, SubmitOutcome, read, submit as accept};
use crate::node::{Node, Stage};

/// Largest page of results, in bytes; with its encoding it stays below a megabyte.
pub const MAX_PAGE_BYTES: usize = 700 << 10;
/// How long a submission to a stopping node waits for another one, in milliseconds.
const ELSEWHERE_MS: u64 = 50;

/// Accepts a batch job once it is stored.
pub async fn submit<D: Dialect>(
    node: &Rc<Node<D>>,
    route: &Route,
    id: &str,
    host: &str,
    path: &str,
    body: Bytes,
) -> Answer {
    if node.stage.get() == Stage::Stopping && !node.jobs.has_owner(id) {
        return not_run::<D>("stopping", ELSEWHERE_MS);
    }
    let submission = match D::parse_submission(&body) {
        Ok(submission) => submission,
        Err(error) => {
            event!(info, "batch job malformed", id = id, why = error);
            return text(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    match accept(node, route, id, host, path, body, submission).await {
        SubmitOutcome::Stored => whole(StatusCode::ACCEPTED, "application/json", "{}"),
        SubmitOutcome::NotStored(why) => {
            event!(
                info,
                "batch job refused",
                id = id,
                verdict = "not-run",
                why = why
            );
            store_away::<D>(&why)
        }
        SubmitOutcome::Ambiguous(why) => {
            event!(
                info,
                "batch job unresolved",
                id = id,
                verdict = "may-have-run",
                why = why
            );
            text(StatusCode::BAD_GATEWAY, &why)
        }
    }
}

/// Results from a position on.
pub async fn results<D: Dialect>(
    node: &Rc<Node<D>>,
    job: &str,
    after: u32,
    wait_ms: u64,
) -> Answer {
    match read::results(node, job, after, wait_ms).await {
        Lookup::Found(page) => whole(StatusCode::OK, "application/json", D::encode_page(&page)),
        Lookup::NotFound => text(StatusCode::NOT_FOUND, "no such batch job"),
        Lookup::Unavailable(why) => store_away::<D>(&why),
    }
}

/// The body of an item that is not listed.
pub async fn body<D: Dialect>(node: &Rc<Node<D>>, job: &str, item: &str) -> Answer {
    match read::item_body(node, job, item).await {
        Lookup::Found(body) => whole(StatusCode::OK, "application/octet-stream", body),
        Lookup::NotFound => text(StatusCode::NOT_FOUND, "no such item"),
        Lookup::Unavailable(why) => store_away::<D>(&why),
    }
}

/// Ends a batch job.
pub async fn end<D: Dialect>(node: &Rc<Node<D>>, job: &str) -> Answer {
    match read::end(node, job).await {
        Lookup::Found(()) => whole(StatusCode::OK, "application/json", "{}"),
        Lookup::NotFound => text(StatusCode::NOT_FOUND, "no such batch job"),
        Lookup::Unavailable(why) => store_away::<D>(&why),
    }
}
