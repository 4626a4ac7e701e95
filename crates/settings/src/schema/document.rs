//! Field table of a service document.

use super::{Field, Shape, optional, required, with_default};

const MAX_TIME_MS: u64 = 3_600_000;
const MAX_HORIZON_S: u64 = 604_800;
const MAX_ENDPOINTS: usize = 8_192;
const MAX_ROUTES: usize = 256;
const MAX_BODY_BYTES: u64 = 8 << 20;

const SHARE: Shape = Shape::Number { min: 0.0, max: 1.0 };
const TIME_MS: Shape = Shape::Integer {
    min: 1,
    max: MAX_TIME_MS,
};
const WEIGHT: Shape = Shape::Number {
    min: 0.0,
    max: 1_000.0,
};

/// Top-level fields of a service document.
pub const DOCUMENT: &[Field] = &[
    required(
        "service",
        Shape::Name,
        "Name of the service; callers of a model give it as `model`.",
    ),
    required(
        "owner",
        Shape::Text { max_bytes: 128 },
        "Team that owns the document.",
    ),
    required(
        "kind",
        Shape::Choice(&["model", "plain"]),
        "What the endpoints are: model engines or plain HTTP servers.",
    ),
    optional(
        "home_region",
        Shape::Name,
        "Region whose daemons keep the claims of this service; can't change once set.",
    ),
    required(
        "endpoints",
        Shape::List {
            fields: ENDPOINT,
            min: 1,
            max: MAX_ENDPOINTS,
        },
        "The endpoints.",
    ),
    with_default(
        "routes",
        Shape::List {
            fields: ROUTE,
            min: 0,
            max: MAX_ROUTES,
        },
        "[]",
        "How requests of a path are treated; the longest matching path counts. Plain services only.",
    ),
    with_default(
        "deadline_ms",
        TIME_MS,
        "10000",
        "Deadline of a request that brings none.",
    )
    .with_unit("ms"),
    with_default(
        "retry_horizon_s",
        Shape::Integer {
            min: 1,
            max: MAX_HORIZON_S,
        },
        "3600",
        "Time after which an idempotency key is forgotten and its repeat refused.",
    )
    .with_unit("s"),
    with_default(
        "limits",
        Shape::Object(LIMITS),
        "{}",
        "Bounds on work in progress.",
    ),
    with_default(
        "rollouts",
        Shape::Object(ROLLOUTS),
        "{}",
        "Treatment of rollouts. Model services only.",
    ),
    with_default(
        "weights",
        Shape::Object(WEIGHTS),
        "{}",
        "Treatment of weight versions. Model services only.",
    ),
];

const ENDPOINT: &[Field] = &[
    required("endpoint", Shape::Name, "Name, unique within the service."),
    required(
        "address",
        Shape::Address,
        "Address for requests, HTTP, unique within the service.",
    ),
    required(
        "failure_domain",
        Shape::Name,
        "Failure domain of the endpoint's VM.",
    ),
    required(
        "vm",
        Shape::Name,
        "The VM, as the platform's list names it.",
    ),
    with_default(
        "max_concurrency",
        Shape::Integer { min: 1, max: 4_096 },
        "8",
        "Requests that it may run at once.",
    )
    .with_unit("requests"),
    with_default(
        "checks_fencing",
        Shape::Bool,
        "false",
        "Whether it refuses an order with an old fencing number.",
    ),
    with_default(
        "echoes_request_id",
        Shape::Bool,
        "false",
        "Whether it echoes the request id in its answers.",
    ),
];

const ROUTE: &[Field] = &[
    required("path", Shape::Path, "Prefix of the path, unique."),
    required(
        "idempotent",
        Shape::Bool,
        "Whether a request may run more than once.",
    ),
    optional(
        "deadline_ms",
        TIME_MS,
        "Deadline in place of the service's.",
    )
    .with_unit("ms"),
];

const LIMITS: &[Field] = &[
    with_default(
        "queue_length",
        Shape::Integer {
            min: 0,
            max: 65_536,
        },
        "64",
        "Requests of callers that one daemon may hold waiting.",
    )
    .with_unit("requests"),
    with_default(
        "body_bytes",
        Shape::Integer {
            min: 1,
            max: MAX_BODY_BYTES,
        },
        "1048576",
        "Largest body of a request.",
    )
    .with_unit("bytes"),
    with_default(
        "retry_ratio",
        SHARE,
        "0.1",
        "Share of requests that may be retries.",
    ),
];

const ROLLOUTS: &[Field] = &[
    with_default(
        "sample_deadline_ms",
        TIME_MS,
        "120000",
        "Longest time that one sample may take on an engine.",
    )
    .with_unit("ms"),
    with_default(
        "hedge_ratio",
        SHARE,
        "0.1",
        "Second copies of stragglers, as a share of tokens.",
    ),
    with_default(
        "idle_weight",
        WEIGHT,
        "1.0",
        "Weight of trainer idle time against staleness.",
    ),
    with_default(
        "staleness_weight",
        WEIGHT,
        "1.0",
        "Weight of staleness against trainer idle time.",
    ),
];

const WEIGHTS: &[Field] = &[
    with_default(
        "wave_s",
        Shape::Integer { min: 1, max: 3_600 },
        "33",
        "Time within which all engines shall serve a new version.",
    )
    .with_unit("s"),
    with_default(
        "loading_share",
        Shape::Number {
            min: 0.01,
            max: 1.0,
        },
        "0.34",
        "Share of engines that may load at the same time.",
    ),
    with_default(
        "order_ttl_ms",
        Shape::Integer {
            min: 100,
            max: 600_000,
        },
        "5000",
        "How long an order stays valid.",
    )
    .with_unit("ms"),
];
