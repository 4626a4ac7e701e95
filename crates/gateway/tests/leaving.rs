//! An endpoint's own word and the platform's list, as the router joins them.

use std::collections::BTreeSet;
use std::time::Duration;

use wisteriapoint_gateway::Router;
use wisteriapoint_route::Demand;
use wisteriapoint_settings::{ServiceDocument, document_from_str};
use wisteriapoint_types::{EndpointName, VmName};

fn document(port: u16) -> ServiceDocument {
    let text = format!(
        r#"{{
    "service": "shopfront", "owner": "shop team", "kind": "plain",
    "endpoints": [
        {{ "endpoint": "shop-1", "address": "127.0.0.1:{port}",
           "failure_domain": "dk-east-a", "vm": "shop-vm-1" }},
    ],
}}"#
    );
    document_from_str(&text).unwrap()
}

async fn is_open(router: &Router) -> bool {
    let deadline_ms = router.deadline_ms(Duration::from_secs(1));
    router.acquire(Demand::caller(deadline_ms)).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn either_word_closes_an_endpoint_and_both_open_it() {
    let router = Router::new(1);
    let shop = EndpointName::new("shop-1");
    let leaving = BTreeSet::from([VmName::new("shop-vm-1")]);
    let nobody = BTreeSet::new();

    router.update(&document(1), &nobody);
    assert!(is_open(&router).await);

    router.set_draining(&shop, true);
    assert!(!is_open(&router).await);
    router.update(&document(1), &nobody);
    assert!(
        !is_open(&router).await,
        "an update forgot the endpoint's word"
    );

    router.update(&document(1), &leaving);
    router.record_engine_status(&shop, 0, 0, false);
    assert!(
        !is_open(&router).await,
        "a report forgot the platform's word"
    );

    router.update(&document(1), &nobody);
    assert!(is_open(&router).await);
}

#[tokio::test(start_paused = true)]
async fn a_document_that_moves_an_endpoint_brings_it_back() {
    let router = Router::new(1);
    router.update(&document(1), &BTreeSet::new());
    router.set_draining(&EndpointName::new("shop-1"), true);
    assert!(!is_open(&router).await);
    router.update(&document(2), &BTreeSet::new());
    assert!(is_open(&router).await);
}

#[tokio::test(start_paused = true)]
async fn a_permit_that_was_refused_for_draining_closes_the_endpoint() {
    let router = Router::new(1);
    router.update(&document(1), &BTreeSet::new());
    let deadline_ms = router.deadline_ms(Duration::from_secs(1));
    let permit = router.acquire(Demand::caller(deadline_ms)).await.unwrap();
    permit.refused_while_draining();
    assert!(!is_open(&router).await);
    assert_eq!(router.draining_targets().len(), 1);
}
