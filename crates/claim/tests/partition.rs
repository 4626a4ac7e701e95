//! Tests of a single partition: pages, late messages and ages of keys.

use wisteriapoint_claim::{
    Age, ClaimRequest, ClaimResponse, MAX_CLOCK_SKEW_MS, PAGE_BYTES, Partition, RecordedResponse,
    Report, Settled, Transfer,
};
use wisteriapoint_types::{Digest, MemberId, Nonce, RequestKey, ViewNumber};

const VIEW: ViewNumber = ViewNumber(1);
const HORIZON_MS: u64 = 60_000;

fn open_partition() -> Partition {
    let mut partition = Partition::new();
    partition.open(VIEW, Transfer::default());
    partition
}

fn claim_request(key: &str, nonce: u64) -> ClaimRequest {
    ClaimRequest {
        view: VIEW,
        key: RequestKey::new(key),
        digest: Digest(1),
        claimant: MemberId(nonce),
        nonce: Nonce(nonce),
        horizon_ms: HORIZON_MS,
    }
}

fn ran_with_body(body_bytes: usize) -> Settled {
    Settled::Ran(RecordedResponse {
        status: 200,
        content_type: "text/plain".into(),
        body: vec![7; body_bytes],
    })
}

fn report_of(request: &ClaimRequest, settled: Option<Settled>) -> Report {
    Report {
        request: request.clone(),
        settled,
    }
}

#[test]
fn pages_are_bounded_and_complete_together() {
    let mut source = open_partition();
    for number in 0..40 {
        let request = claim_request(&format!("order-{number:02}"), number);
        source.apply_report(0, &report_of(&request, Some(ran_with_body(PAGE_BYTES / 8))));
    }
    let mut collected = Transfer::default();
    let mut after = None;
    let mut pages = 0;
    loop {
        let page = source.page(after.as_ref());
        assert!(page.transfer.records.len() <= 8);
        collected.merge(page.transfer);
        pages += 1;
        match page.next {
            Some(next) => after = Some(next),
            None => break,
        }
    }
    assert_eq!((pages, collected.records.len()), (5, 40));
}

#[test]
fn a_claim_after_its_release_is_not_granted() {
    let mut partition = open_partition();
    let late = claim_request("order", 1);
    partition.apply_report(0, &report_of(&late, None));
    assert_eq!(partition.claim(0, &late), ClaimResponse::Released);
    assert_eq!(
        partition.claim(0, &claim_request("order", 2)),
        ClaimResponse::Granted
    );
}

#[test]
fn the_first_outcome_stays() {
    let mut partition = open_partition();
    let winner = claim_request("order", 1);
    assert_eq!(partition.claim(0, &winner), ClaimResponse::Granted);
    partition.apply_report(0, &report_of(&winner, Some(ran_with_body(1))));
    partition.apply_report(0, &report_of(&winner, Some(ran_with_body(2))));
    partition.apply_report(0, &report_of(&winner, None));
    assert_eq!(
        partition.claim(0, &claim_request("order", 2)),
        ClaimResponse::Settled(ran_with_body(1))
    );
}

#[test]
fn a_sealed_partition_refuses_claims_until_it_opens_in_a_later_view() {
    let mut partition = open_partition();
    partition.seal(ViewNumber(2));
    let refused = ClaimResponse::NotOpen {
        view: ViewNumber(2),
    };
    assert_eq!(partition.claim(0, &claim_request("order", 1)), refused);
    partition.open(VIEW, Transfer::default());
    assert_eq!(partition.claim(0, &claim_request("order", 1)), refused);
    partition.open(ViewNumber(2), Transfer::default());
    assert!(partition.is_open(ViewNumber(2)));
}

#[test]
fn ages_of_keys() {
    // Issued at 100,000 ms.
    let dated = RequestKey::new("00000001-86a0-7000-8000-000000000000");
    let opaque = RequestKey::new("order");
    let issued_ms = 100_000;
    for (now_ms, key, age) in [
        (issued_ms - MAX_CLOCK_SKEW_MS - 1, &dated, Age::Future),
        (issued_ms - MAX_CLOCK_SKEW_MS, &dated, Age::Valid),
        (issued_ms + HORIZON_MS, &dated, Age::Valid),
        (issued_ms + HORIZON_MS + 1, &dated, Age::Expired),
        (0, &opaque, Age::Valid),
        (u64::MAX, &opaque, Age::Valid),
    ] {
        assert_eq!(Age::new(now_ms, key, HORIZON_MS), age, "{now_ms}");
    }
}

#[test]
fn an_opaque_key_runs_again_once_the_horizon_after_a_loss_has_passed() {
    let mut partition = Partition::new();
    let lost = Transfer {
        lost_at_ms: Some(0),
        ..Transfer::default()
    };
    partition.open(VIEW, lost);
    let complete_since_ms = 2 * MAX_CLOCK_SKEW_MS + HORIZON_MS;
    assert_eq!(
        partition.claim(complete_since_ms, &claim_request("order", 1)),
        ClaimResponse::Lost
    );
    assert_eq!(
        partition.claim(complete_since_ms + 1, &claim_request("order", 2)),
        ClaimResponse::Granted
    );
}
