//! Measures the memory and processing time of claims in a holder.

use std::time::Instant;

use uuid::Uuid;
use wisteriapoint_claim::{ClaimRequest, Holder, RecordedResponse, Report, Settled, Transfer};
use wisteriapoint_types::key::PARTITION_COUNT;
use wisteriapoint_types::{Digest, MemberId, Nonce, PartitionId, RequestKey, ViewNumber};

use crate::measurement::Measurement;
use crate::process::allocated_bytes;

const SIZES: [usize; 3] = [10_000, 100_000, 400_000];
const VIEW: ViewNumber = ViewNumber(1);
const REPEATS: usize = 3;
const RESPONSE_BYTES: usize = 256;

pub(crate) fn measure() -> Vec<Measurement> {
    let mut memory = Measurement::new(
        "memory of settled claims (256-byte answers), bytes",
        "claims",
    );
    let mut time = Measurement::new("ask and report of one claim, microseconds", "claims held");
    for size in SIZES {
        let runs: Vec<(f64, f64)> = (0..REPEATS).map(|_| measure_claims(size)).collect();
        let bytes: Vec<f64> = runs.iter().map(|run| run.0).collect();
        let per_claim_us: Vec<f64> = runs.iter().map(|run| run.1).collect();
        memory = memory.with_point(size, &bytes);
        time = time.with_point(size, &per_claim_us);
    }
    vec![memory, time]
}

/// Returns the memory of `size` claims in bytes, and the time for each in microseconds.
fn measure_claims(size: usize) -> (f64, f64) {
    let before_bytes = allocated_bytes();
    let mut holder = Holder::new();
    holder.observe_view(VIEW);
    for partition in 0..PARTITION_COUNT {
        holder.open(VIEW, PartitionId(partition), Transfer::default());
    }
    let started = Instant::now();
    for number in 0..size as u64 {
        complete_claim(&mut holder, number);
    }
    let per_claim_us = started.elapsed().as_secs_f64() * 1e6 / size as f64;
    let used = allocated_bytes().saturating_sub(before_bytes);
    (used as f64, per_claim_us)
}

fn complete_claim(holder: &mut Holder, number: u64) {
    let key = RequestKey::new(Uuid::now_v7().to_string());
    let claim_request = ClaimRequest {
        view: VIEW,
        key,
        digest: Digest::new(&[&number.to_le_bytes()]),
        claimant: MemberId(1),
        nonce: Nonce(number),
        horizon_ms: 3_600_000,
    };
    holder.claim(0, &claim_request);
    let report = Report {
        request: claim_request,
        settled: Some(Settled::Ran(RecordedResponse {
            status: 200,
            content_type: "application/json".into(),
            body: vec![b'x'; RESPONSE_BYTES],
        })),
    };
    holder.apply_report(0, &report);
}
