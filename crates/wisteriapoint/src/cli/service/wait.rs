//! Waiting until a revision is in force on every daemon.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use serde::Serialize;
use tokio::time::{Instant, sleep};
use wisteriapoint_membership::{Member, View};
use wisteriapoint_store::{Store, keys};
use wisteriapoint_types::{MemberId, Revision, VmName};

use super::apply::Applied;
use crate::Error;
use crate::cli::admin_client::AdminClient;

const POLL_INTERVAL: Duration = Duration::from_millis(250);
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Result of a completed wait: the daemons that have the revision in force.
#[derive(Debug, Serialize)]
pub struct MembersInForce {
    /// Revision that was waited for.
    pub revision: Revision,
    /// VMs of all members of the view, sorted by name.
    pub in_force: Vec<VmName>,
}

/// Waits until every member of the view has the applied revision or a later one in force.
///
/// # Errors
///
/// Returns [`Error::NotInForce`] with the members that do not have it at `deadline`.
pub async fn wait_for_revision<S: Store>(
    store: &S,
    applied: &Applied,
    deadline: Instant,
) -> Result<MembersInForce, Error> {
    let client = AdminClient::new()?;
    let mut members = Vec::new();
    let mut done: BTreeSet<MemberId> = BTreeSet::new();
    loop {
        if let Ok(Some(entry)) = store.get(keys::VIEW).await {
            members = serde_json::from_slice::<View>(&entry.value)?.members;
        }
        let pending = members.iter().filter(|member| !done.contains(&member.id));
        let up_to_date: Vec<Option<MemberId>> = stream::iter(pending)
            .map(|member| has_revision(&client, member, applied))
            .buffer_unordered(MAX_CONCURRENT_QUERIES)
            .collect()
            .await;
        done.extend(up_to_date.into_iter().flatten());
        let lagging = |member: &&Member| !done.contains(&member.id);
        let lagging: Vec<VmName> = vms(members.iter().filter(lagging));
        if lagging.is_empty() && !members.is_empty() {
            return Ok(MembersInForce {
                revision: applied.revision,
                in_force: vms(members.iter()),
            });
        }
        if Instant::now() + POLL_INTERVAL > deadline {
            return Err(Error::NotInForce {
                revision: applied.revision,
                lagging,
            });
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn has_revision(
    client: &AdminClient,
    member: &Member,
    applied: &Applied,
) -> Option<MemberId> {
    let status = client.status(member.admin_address).await.ok()?;
    let revision = status.revisions.get(&applied.service)?;
    (*revision >= applied.revision && status.id == member.id).then_some(member.id)
}

fn vms<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<VmName> {
    let mut vms: Vec<VmName> = members.map(|member| member.vm.clone()).collect();
    vms.sort();
    vms
}
