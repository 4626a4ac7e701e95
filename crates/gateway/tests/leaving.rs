//! The router combines an endpoint's draining report with the platform's list of leaving VMs.

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

async fn is_available(router: &Router) -> bool {
    let deadline_ms = router.deadline_ms(Duration::from_secs(1));
    router.acquire(Demand::caller(deadline_ms)).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_is_used_only_if_neither_source_reports_it_leaving() {
    let router = Router::new(1);
    let shop = EndpointName::new("shop-1");
    let leaving = BTreeSet::from([VmName::new("shop-vm-1")]);
    let none = BTreeSet::new();

    router.update(&document(1), &none);
    assert!(is_available(&router).await);

    router.set_draining(&shop, true);
    assert!(!is_available(&router).await);
    router.update(&document(1), &none);
    assert!(
        !is_available(&router).await,
        "an update discarded the endpoint's draining report"
    );

    router.update(&document(1), &leaving);
    router.record_engine_status(&shop, 0, 0, false);
    assert!(
        !is_available(&router).await,
        "a report discarded the platform's list of leaving VMs"
    );

    router.update(&document(1), &none);
    assert!(is_available(&router).await);
}

#[tokio::test(start_paused = true)]
async fn a_new_address_clears_the_draining_state() {
    let router = Router::new(1);
    router.update(&document(1), &BTreeSet::new());
    router.set_draining(&EndpointName::new("shop-1"), true);
    assert!(!is_available(&router).await);
    router.update(&document(2), &BTreeSet::new());
    assert!(is_available(&router).await);
}

#[tokio::test(start_paused = true)]
async fn a_draining_refusal_takes_the_endpoint_out_of_use() {
    let router = Router::new(1);
    router.update(&document(1), &BTreeSet::new());
    let deadline_ms = router.deadline_ms(Duration::from_secs(1));
    let permit = router.acquire(Demand::caller(deadline_ms)).await.unwrap();
    permit.refused_while_draining();
    assert!(!is_available(&router).await);
    assert_eq!(router.draining_targets().len(), 1);
}
