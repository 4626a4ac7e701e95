//! Validity of a node's lease, and of leadership that was claimed under it.

use wisteriapoint_node::clock::boot_ms;
use wisteriapoint_node::control::Lease;
use wisteriapoint_store::{Index, LeaseId};

const TTL_MS: u64 = 60_000;

/// A leader is paused, its lease expires, and it obtains a new lease before it observes that
/// another node leads. It must not send orders under the previous lease.
#[test]
fn a_new_lease_does_not_renew_leadership_of_the_previous_one() {
    let (previous, new) = (LeaseId(7), LeaseId(8));
    let lease = Lease::new();
    lease.record_renewal(previous, boot_ms(), TTL_MS);
    assert!(lease.holds(previous));
    lease.record_expiry();
    assert!(!lease.holds(previous));
    lease.record_renewal(new, boot_ms(), TTL_MS);
    assert!(lease.is_valid() && lease.holds(new));
    assert!(!lease.holds(previous));
}

/// Guards against a call of a former holder of the duties under its previous fencing token: it was
/// paused, its lease expired, and it has a new lease before it observes that another node leads.
#[test]
fn a_new_lease_does_not_renew_the_fence_of_the_previous_one() {
    let (previous, new) = (LeaseId(7), LeaseId(8));
    let lease = Lease::new();
    assert!(!lease.holds_leadership(Index(0)));
    lease.record_renewal(previous, boot_ms(), TTL_MS);
    lease.record_leadership(Index(40), previous);
    assert!(lease.holds_leadership(Index(40)));
    assert!(!lease.holds_leadership(Index(39)));
    lease.record_expiry();
    lease.record_renewal(new, boot_ms(), TTL_MS);
    assert!(lease.is_valid() && !lease.holds_leadership(Index(40)));
    lease.record_leadership(Index(50), new);
    assert!(lease.holds_leadership(Index(50)));
}

/// Guards against a node that counts as the definite owner of its batch jobs by a longer lease, while its
/// member row has moved to a shorter one by a write without an answer, and has ended with it.
#[test]
fn a_lease_is_valid_no_longer_than_one_that_may_hold_the_member_row() {
    let lease = Lease::new();
    lease.record_renewal(LeaseId(7), boot_ms(), TTL_MS);
    lease.limit_validity(boot_ms() + 2 * TTL_MS);
    assert!(lease.is_valid());
    lease.limit_validity(boot_ms());
    assert!(!lease.is_valid());
    lease.record_renewal(LeaseId(8), boot_ms(), TTL_MS);
    assert!(lease.holds(LeaseId(8)));
}
