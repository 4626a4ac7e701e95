//! What a node may still do under a lease.

use wisteriapoint_node::clock::boot_ms;
use wisteriapoint_node::control::Lease;
use wisteriapoint_store::LeaseId;

const TTL_MS: u64 = 60_000;

/// Pattern: a keeper stands still, its lease lapses, and it has a new one before it knows that
/// another node is the keeper.
#[test]
fn a_new_lease_does_not_renew_a_duty_of_the_former_one() {
    let (former, new) = (LeaseId(7), LeaseId(8));
    let lease = Lease::new();
    lease.record_renewal(former, boot_ms(), TTL_MS);
    assert!(lease.holds(former));
    lease.record_expiry();
    assert!(!lease.holds(former));
    lease.record_renewal(new, boot_ms(), TTL_MS);
    assert!(lease.is_valid() && lease.holds(new));
    assert!(!lease.holds(former));
}
