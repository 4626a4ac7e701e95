//! Rows of the live nodes, each under the lease of its node.

use std::collections::BTreeSet;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wisteriapoint_batch::Owner;
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
    Ok((member_key(member), value))
}

/// Returns the key of the row of a member.
pub fn member_key(member: &Owner) -> String {
    format!("{MEMBERS_PREFIX}{}", member.vm)
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
    Ok(members_with_revision(node, freshness).await?.0)
}

/// Reads all members from the store, and the revision from which a watch continues.
///
/// If this node is not among them, its own row is checked.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn members_with_revision<D: Dialect>(
    node: &Node<D>,
    freshness: Freshness,
) -> Result<(Vec<Owner>, Index), Error> {
    let rows = node.store.range(MEMBERS_PREFIX, freshness).await;
    node.record_store_call("members", &rows);
    let (rows, revision) = rows?;
    let rows: Vec<Option<MemberRow<Owner>>> = rows.iter().map(|row| parse_row(node, row)).collect();
    // A row that can't be parsed may be of any build.
    let records = |row: &Option<MemberRow<_>>| row.as_ref().is_some_and(|row| row.records_software);
    let all_record = rows.iter().all(records);
    node.streams.software.set_all_nodes_record(all_record);
    let known = rows.iter().flatten();
    node.capacities.replace(
        known
            .map(|row| (row.member.address, row.cpu_share))
            .collect(),
    );
    let members = rows.into_iter().flatten().map(|row| row.member);
    let members: Vec<_> = members.collect();
    if !members.contains(&node.owner) {
        node.lease.doubt_member_row(freshness);
    }
    Ok((members, revision))
}

/// Sets the nodes through which the store may be reached, and which get crash reports: the other
/// members and the leader.
pub fn set_peers<D: Dialect>(node: &Node<D>, members: &[Owner]) {
    let leader = node.leader.borrow();
    // A stale read may not have the leader's row yet.
    let known = members.iter().chain(leader.as_ref());
    let peers: BTreeSet<_> = known
        .filter(|member| **member != node.owner)
        .map(|member| member.address)
        .collect();
    node.suspects.peers.set(node.now_ms(), &peers);
    node.store.set_peers(peers.into_iter().collect());
}
