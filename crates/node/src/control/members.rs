//! The nodes that are alive, as rows under their leases.

use wisteriapoint_batch::Owner;
use wisteriapoint_store::{Error, Freshness, Index, TransactionalStore};

use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Prefix of the rows of members.
pub const MEMBERS: &str = "wp/member/";

/// The row of a member.
///
/// # Errors
///
/// Fails only if the member can't be encoded.
pub fn row(member: &Owner) -> Result<(String, Vec<u8>), Error> {
    let value = serde_json::to_vec(member);
    let value = value.map_err(|error| Error::Malformed(error.to_string().into()))?;
    Ok((format!("{MEMBERS}{}", member.vm), value))
}

/// Reads a row of a member.
pub fn member(value: &[u8]) -> Option<Owner> {
    match serde_json::from_slice(value) {
        Ok(member) => Some(member),
        Err(error) => {
            event!(error, "member not understood", why = error);
            None
        }
    }
}

/// All members.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn members<D: Dialect>(
    node: &Node<D>,
    freshness: Freshness,
) -> Result<Vec<Owner>, Error> {
    Ok(members_at(node, freshness).await?.0)
}

/// All members, and the revision from which a watch goes on.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn members_at<D: Dialect>(
    node: &Node<D>,
    freshness: Freshness,
) -> Result<(Vec<Owner>, Index), Error> {
    let rows = node.store.range(MEMBERS, freshness).await;
    node.note_store("members", &rows);
    let (rows, revision) = rows?;
    let members = rows.iter().filter_map(|row| member(&row.value)).collect();
    Ok((members, revision))
}
