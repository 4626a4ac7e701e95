//! Rows of the live nodes, each under the lease of its node.

use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wisteriapoint_batch::{Members, Owner};
use wisteriapoint_store::{Error, Freshness, Index, Row, TransactionalStore};

use super::term::Term;
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Prefix of the keys of member rows; the name of the VM follows.
pub const MEMBERS_PREFIX: &str = "wp/member/";

/// The row of a member, with what its build does; a row of an earlier build states only the member.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRow<T> {
    #[serde(flatten)]
    member: T,
    /// Whether the member begins streams only at software versions that it has recorded.
    #[serde(default)]
    records_software: bool,
    /// Processor share of the VM in cores, if it is stated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    cpu_share: Option<f64>,
}

/// The row of the leader; one of an earlier build states only the member.
#[derive(Debug, Serialize, Deserialize)]
struct LeaderRow<T> {
    #[serde(flatten)]
    member: T,
    #[serde(default)]
    term: Term,
}

/// Returns the value of the leader row.
///
/// # Errors
///
/// Fails only if the leader can't be encoded.
pub fn leader_row(leader: &Owner, term: Term) -> Result<Vec<u8>, Error> {
    let row = LeaderRow {
        member: leader,
        term,
    };
    let value = serde_json::to_vec(&row);
    value.map_err(|error| Error::Malformed(error.to_string().into()))
}

/// Parses the leader row; returns `None` if it is malformed, which is logged once.
pub fn parse_leader<D: Dialect>(node: &Node<D>, row: &Row) -> Option<(Owner, Term)> {
    let parsed: LeaderRow<Owner> = parse_row(node, row)?;
    Some((parsed.member, parsed.term))
}

/// Returns key and value of the row of a member.
///
/// # Errors
///
/// Fails only if the member can't be encoded.
pub fn member_row(member: &Owner, cpu_share: Option<f64>) -> Result<(String, Vec<u8>), Error> {
    let row = MemberRow {
        member,
        records_software: true,
        cpu_share,
    };
    let value = serde_json::to_vec(&row);
    let value = value.map_err(|error| Error::Malformed(error.to_string().into()))?;
    Ok((member_key(&member.vm), value))
}

/// Returns the key of the member row of a VM.
pub fn member_key(vm: &str) -> String {
    format!("{MEMBERS_PREFIX}{vm}")
}

/// Parses a row; returns `None` if it is malformed, which is logged once.
fn parse_row<D: Dialect, T: DeserializeOwned>(node: &Node<D>, row: &Row) -> Option<T> {
    match serde_json::from_slice(&row.value) {
        Ok(parsed) => Some(parsed),
        Err(error) => {
            if node.malformed_rows.is_new(row) {
                event!(
                    error,
                    "row of a member or of the leader could not be parsed; ignored",
                    key = row.key,
                    error = error
                );
            }
            None
        }
    }
}

/// Reads all members from the store.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn members<D: Dialect>(
    node: &Node<D>,
    freshness: Freshness,
) -> Result<Vec<Owner>, Error> {
    let (members, _) = members_with_revision(node, freshness).await?;
    Ok(members.runs().cloned().collect())
}

/// Reads all member rows from the store, and the revision from which a watch continues.
///
/// If this node is not among the members, its own row is checked.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn members_with_revision<D: Dialect>(
    node: &Node<D>,
    freshness: Freshness,
) -> Result<(Members, Index), Error> {
    let rows = node.store.range(MEMBERS_PREFIX, freshness).await;
    node.record_store_call("members", &rows);
    let (rows, revision) = rows?;
    let mut all_record = true;
    let mut capacities = BTreeMap::new();
    let mut members = Members::new();
    for row in &rows {
        let member: Option<MemberRow<Owner>> = parse_row(node, row);
        // A row that can't be parsed may be of any build.
        all_record &= member.as_ref().is_some_and(|row| row.records_software);
        capacities.extend(
            member
                .as_ref()
                .map(|row| (row.member.address, row.cpu_share)),
        );
        let vm = row.key.strip_prefix(MEMBERS_PREFIX).unwrap_or(&row.key);
        let run = member.map(|row| row.member);
        members = members.with_row(vm, row.revision.0, run);
    }
    node.streams.software.set_all_nodes_record(all_record);
    node.capacities.replace(capacities);
    if !members.contains(&node.owner) {
        node.lease.doubt_member_row(freshness);
    }
    Ok((members, revision))
}

/// Sets the nodes through which the store may be reached, and which get crash reports: the other
/// members and the leader.
pub fn set_peers<'a, D: Dialect>(node: &Node<D>, members: impl IntoIterator<Item = &'a Owner>) {
    let other_address = |member: &Owner| (*member != node.owner).then_some(member.address);
    // A stale read may not have the leader's row yet.
    let leader = node.leader.borrow().as_ref().and_then(other_address);
    let others = members.into_iter().filter_map(other_address);
    let peers: BTreeSet<_> = others.chain(leader).collect();
    node.suspects.peers.set(node.now_ms(), &peers);
    node.store.set_peers(peers.into_iter().collect());
}
