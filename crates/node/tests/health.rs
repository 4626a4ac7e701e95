//! Detection of store outages from answered and failed calls.

use wisteriapoint_node::control::StoreHealth;

/// The store briefly refuses one node, whose next call goes through a peer. Such a failure must
/// not count as an outage, in which rows may have expired.
#[test]
fn a_failed_call_before_one_through_a_peer_is_no_outage() {
    let health = StoreHealth::new();
    health.record_failure(1_000, &"refused");
    assert_eq!(health.outage_end_ms(1_020), None);
    health.record_answer(1_030);
    assert_eq!(health.outage_end_ms(1_030), None);
}

/// The store is down for some seconds, in which rows expire. The outage must last until the next
/// answer, and a short failure later must not move its end.
#[test]
fn an_outage_lasts_until_the_store_answers() {
    let health = StoreHealth::new();
    health.record_failure(1_000, &"silent");
    health.record_failure(2_000, &"silent");
    assert_eq!(health.outage_end_ms(3_000), Some(3_000));
    health.record_answer(5_500);
    assert_eq!(health.outage_end_ms(9_000), Some(5_500));
    health.record_failure(9_000, &"refused");
    health.record_answer(9_040);
    assert_eq!(health.outage_end_ms(9_050), Some(5_500));
}
