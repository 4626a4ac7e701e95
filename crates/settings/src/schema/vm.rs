//! Field table of the settings of a VM.

use super::{Field, Shape, required, with_default};

/// Top-level fields of the settings of a VM.
pub const VM: &[Field] = &[
    required(
        "vm",
        Shape::Name,
        "Name of the VM, unique within the deployment.",
    ),
    required("failure_domain", Shape::Name, "Failure domain of the VM."),
    required("region", Shape::Name, "Region of the failure domain."),
    required(
        "service_address",
        Shape::Address,
        "Address for callers and trainers, HTTP.",
    ),
    required(
        "admin_address",
        Shape::Address,
        "Address for operators and metrics, HTTP; to be reachable by operators alone.",
    ),
    required(
        "peer_address",
        Shape::Address,
        "Address for the other daemons, UDP and TCP on the same port.",
    ),
    required(
        "platform_url",
        Shape::Url,
        "Base URL of the platform's key-value service.",
    ),
    with_default(
        "seed_peers",
        Shape::Addresses { max: 1_024 },
        "[]",
        "Peer addresses of some other daemons, asked when the platform does not answer at start.",
    ),
    with_default(
        "lease_ttl_s",
        Shape::Integer { min: 1, max: 3_600 },
        "15",
        "Time to live of the VM's lease.",
    )
    .with_unit("s"),
    with_default(
        "drain_wait_ms",
        Shape::Integer {
            min: 0,
            max: 600_000,
        },
        "2000",
        "Wait between readiness going off and the listener closing.",
    )
    .with_unit("ms"),
    with_default(
        "drain_limit_s",
        Shape::Integer {
            min: 0,
            max: 86_400,
        },
        "120",
        "Longest time that a stop waits for requests in flight.",
    )
    .with_unit("s"),
    with_default(
        "traffic_threads",
        Shape::Integer { min: 1, max: 256 },
        "2",
        "Threads that carry traffic.",
    )
    .with_unit("threads"),
    with_default(
        "platform_calls_per_s",
        Shape::Number {
            min: 0.1,
            max: 10_000.0,
        },
        "4.0",
        "Platform calls that this daemon may make.",
    )
    .with_unit("calls/s"),
    with_default(
        "log_format",
        Shape::Choice(&["plain", "json"]),
        "\"plain\"",
        "Form of log lines.",
    ),
];
