//! Items that are abandoned, which are listed as dead.

use wisteriapoint_batch::{ItemKey, Job, Outcome};

use super::OwnedJob;
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Reason for which an item is abandoned.
#[derive(Debug, Clone, Copy)]
pub enum AbandonReason {
    /// Its path or headers can't be sent.
    Malformed,
    /// An endpoint answered that it can never be done.
    Rejected,
    /// Endpoints failed it as often as its route allows.
    Failed,
    /// Its scorer failed as often as the scorer's route allows.
    NotScored,
    /// Its batch job has expired.
    Expired,
}

impl AbandonReason {
    /// Returns the reason as it stands in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::NotScored => "not-scored",
            Self::Expired => "expired",
        }
    }
}

/// Abandons an item of a batch job.
pub fn abandon_item<D: Dialect>(
    node: &Node<D>,
    owned: &OwnedJob,
    job: &mut Job,
    key: ItemKey,
    reason: AbandonReason,
) {
    let item = job.item(key).map_or("", |item| &*item.id);
    event!(
        info,
        "item abandoned",
        id = owned.id,
        item = item,
        reason = reason.as_str()
    );
    job.finish(node.now_ms(), key, Outcome::Dead);
    record(node, reason, 1);
}

/// Abandons all remaining items of a batch job if it has expired.
pub fn abandon_expired<D: Dialect>(node: &Node<D>, owned: &OwnedJob) {
    let items = owned.job.borrow_mut().expire(node.now_ms());
    if items == 0 {
        return;
    }
    event!(
        info,
        "batch job expired; remaining items abandoned",
        id = owned.id,
        items = items
    );
    record(node, AbandonReason::Expired, items as u64);
}

fn record<D: Dialect>(node: &Node<D>, reason: AbandonReason, items: u64) {
    let abandoned = &node.metrics.abandoned_items;
    abandoned
        .with_label_values(&[reason.as_str()])
        .inc_by(items);
}
