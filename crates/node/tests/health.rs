//! What a node believes of the store from the calls that were answered and those that were not.

use wisteriapoint_node::control::Health;

/// Pattern: the store turns one node away for a moment; its next call goes through a peer.
#[test]
fn a_call_that_fails_before_one_through_a_peer_is_no_outage() {
    let health = Health::new();
    health.record_failure(1_000, &"refused");
    assert_eq!(health.outage_end_ms(1_020), None);
    health.record_answer(1_030);
    assert_eq!(health.outage_end_ms(1_030), None);
}

/// Pattern: the store is down for seconds, and rows lapse with it.
#[test]
fn an_outage_lasts_until_the_store_answers() {
    let health = Health::new();
    health.record_failure(1_000, &"silent");
    health.record_failure(2_000, &"silent");
    assert_eq!(health.outage_end_ms(3_000), Some(3_000));
    health.record_answer(5_500);
    assert_eq!(health.outage_end_ms(9_000), Some(5_500));
    health.record_failure(9_000, &"refused");
    health.record_answer(9_040);
    assert_eq!(health.outage_end_ms(9_050), Some(5_500));
}
