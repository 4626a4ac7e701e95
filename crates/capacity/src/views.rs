//! Measures the size of the view record and the time to derive assignments from it.

use std::hint::black_box;
use std::time::Instant;

use wisteriapoint_membership::{Member, View};
use wisteriapoint_route::Subset;
use wisteriapoint_types::{
    EndpointName, FailureDomain, MemberId, Nonce, PartitionId, Region, VmName, hash64,
};

use crate::measurement::Measurement;

const SIZES: [usize; 4] = [8, 96, 380, 1_000];
const ENGINES_PER_DAEMON: usize = 12;
const PARTITION_COUNT: u16 = 256;
const REPEATS: usize = 5;
const FAILURE_DOMAINS: u64 = 12;

/// Returns a view with `members` members in twelve failure domains.
pub(crate) fn view_of_size(members: usize) -> View {
    let members: Vec<Member> = (0..members as u64).map(member).collect();
    View::default().with_changes(&members, &[], Nonce(1))
}

fn member(number: u64) -> Member {
    let domain = number % FAILURE_DOMAINS;
    Member {
        id: MemberId(hash64(1, &number.to_le_bytes())),
        vm: VmName::new(format!("entry-vm-{number:04}")),
        failure_domain: FailureDomain::new(format!("region-{}-domain-{domain}", domain / 4)),
        region: Region::new(format!("region-{}", domain / 4)),
        peer_address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000).into(),
        admin_address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_001).into(),
    }
}

pub(crate) fn measure() -> Vec<Measurement> {
    let mut stored = Measurement::new("view in the platform's store (JSON), bytes", "members");
    let mut sent = Measurement::new("view between daemons (postcard), bytes", "members");
    let mut holders = Measurement::new("holders of all 256 partitions, ms", "members");
    let mut subset = Measurement::new("subset of 12 engines a member, ms", "members");
    let mut coordinators = Measurement::new("keepers of 12 engines a member, ms", "members");
    for size in SIZES {
        let view = view_of_size(size);
        let engines: Vec<EndpointName> = (0..size * ENGINES_PER_DAEMON)
            .map(|number| EndpointName::new(format!("engine-{number}")))
            .collect();
        let names: Vec<&EndpointName> = engines.iter().collect();
        let json_bytes = serde_json::to_vec(&view).map_or(0, |bytes| bytes.len());
        let wire_bytes = postcard::to_stdvec(&view).map_or(0, |bytes| bytes.len());
        stored = stored.with_point(size, &[json_bytes as f64]);
        sent = sent.with_point(size, &[wire_bytes as f64]);
        holders = holders.with_point(
            size,
            &time_repeats_ms(|| {
                for partition in 0..PARTITION_COUNT {
                    black_box(view.holders(PartitionId(partition)));
                }
            }),
        );
        let members: Vec<MemberId> = view.members.iter().map(|member| member.id).collect();
        let member_subset = Subset::new(members[0], members.clone(), 36);
        subset = subset.with_point(
            size,
            &time_repeats_ms(|| {
                black_box(member_subset.select(&names));
            }),
        );
        coordinators = coordinators.with_point(
            size,
            &time_repeats_ms(|| {
                for name in &names {
                    black_box(view.coordinator(name.as_str().as_bytes()));
                }
            }),
        );
    }
    vec![stored, sent, holders, subset, coordinators]
}

/// Runs `work` `REPEATS` times and returns the time of each run in milliseconds.
pub(crate) fn time_repeats_ms(mut work: impl FnMut()) -> Vec<f64> {
    let mut values = Vec::with_capacity(REPEATS);
    for _ in 0..REPEATS {
        let started = Instant::now();
        work();
        values.push(started.elapsed().as_secs_f64() * 1e3);
    }
    values
}
