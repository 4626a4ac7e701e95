//! Selection of the endpoints of a large service that each node uses.

use wisteriapoint_directory::{ServiceSizes, Subset};
use wisteriapoint_types::{EndpointName, ServiceName};

fn sizes(count: usize) -> ServiceSizes {
    let mut sizes = ServiceSizes::new();
    resize(&mut sizes, count);
    sizes
}

fn resize(sizes: &mut ServiceSizes, count: usize) {
    let service = ServiceName::new("engines");
    sizes.update(std::iter::repeat_n(&service, count));
}

fn used(vm: &str, sizes: &ServiceSizes, count: usize) -> Vec<usize> {
    let (subset, service) = (Subset::new(vm), ServiceName::new("engines"));
    let name = |number: usize| EndpointName::new(format!("engine-{number}"));
    (0..count)
        .filter(|&number| subset.contains(sizes, &service, &name(number)))
        .collect()
}

#[test]
fn all_endpoints_of_a_small_service_are_used() {
    for count in [1, 64, 127] {
        assert_eq!(used("edge-1", &sizes(count), count).len(), count);
    }
}

/// With 300 nodes and 2,250 engines, a change of one engine is sent to few nodes.
#[test]
fn nodes_use_a_part_of_a_large_service_and_spread_over_its_endpoints() {
    const ENGINES: usize = 2_250;
    let sizes = sizes(ENGINES);
    let mut nodes_of = vec![0; ENGINES];
    for node in 0..300 {
        let used = used(&format!("edge-{node}"), &sizes, ENGINES);
        assert!((40..=110).contains(&used.len()), "{} used", used.len());
        for number in used {
            nodes_of[number] += 1;
        }
    }
    // Each endpoint is used by about nine nodes on average, so hardly any is used by none.
    let unused = nodes_of.iter().filter(|&&nodes| nodes == 0).count();
    let most = nodes_of.iter().max().unwrap();
    assert!(unused <= 2 && *most <= 30, "{unused} unused, {most} nodes");
}

#[test]
fn growth_of_a_service_only_removes_existing_endpoints_from_a_subset() {
    let small = used("edge-1", &sizes(300), 300);
    let large = used("edge-1", &sizes(1_100), 300);
    assert!(large.len() < small.len());
    assert!(large.iter().all(|number| small.contains(number)));
}

#[test]
fn a_service_around_a_power_of_two_keeps_its_level() {
    let mut sizes = sizes(130);
    let before = sizes.clone();
    for count in [126, 128, 97, 130] {
        resize(&mut sizes, count);
        assert_eq!(sizes, before, "{count} endpoints");
    }
    resize(&mut sizes, 95);
    assert!(sizes.is_empty());
}
