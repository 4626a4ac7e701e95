//! Selection of a route, and of a service by weight.

use wisteriapoint_directory::{Configuration, Route, RouteKind, Split};
use wisteriapoint_types::ServiceName;

fn route(host: &str, prefix: &str, splits: &[(&str, u32)]) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 0,
        splits: splits
            .iter()
            .map(|&(service, weight)| Split {
                service: ServiceName::new(service),
                weight,
            })
            .collect(),
        max_attempts: 2,
        resumable: false,
        due_ms: 0,
        retention_ms: 0,
        single_version: false,
        is_anonymous: false,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let configuration = Configuration {
        routes: vec![
            route("a.example", "/", &[]),
            route("a.example", "/shop/", &[]),
            route("a.example", "/shop/hold/", &[]),
            route("b.example", "/shop/hold/deep/", &[]),
        ],
        ..Configuration::default()
    };
    let found = |host, path| {
        let route = configuration.route(host, path);
        route.map(|route| &*route.prefix)
    };
    assert_eq!(found("a.example", "/shop/hold/deep/1"), Some("/shop/hold/"));
    assert_eq!(found("a.example", "/shop/1"), Some("/shop/"));
    assert_eq!(found("a.example", "/shop"), Some("/"));
    assert_eq!(found("b.example", "/shop/1"), None);
    assert_eq!(found("c.example", "/shop/1"), None);
}

#[test]
fn services_share_a_route_by_weight() {
    let route = route("a.example", "/", &[("one", 90), ("two", 10)]);
    let service = |share| route.select_service(share).map(ServiceName::as_str);
    assert_eq!(service(0.0), Some("one"));
    assert_eq!(service(0.89), Some("one"));
    assert_eq!(service(0.91), Some("two"));
    assert_eq!(service(0.999), Some("two"));
    assert_eq!(self::route("a", "/", &[]).select_service(0.5), None);
}
