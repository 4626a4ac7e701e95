//! Measures the processing time of endpoint selection.

use std::hint::black_box;

use wisteriapoint_route::{Admission, Demand, EndpointState, Outcome, Pool};

use crate::measurement::Measurement;
use crate::views::time_repeats_ms;

const SIZES: [usize; 4] = [9, 36, 128, 512];
const REQUESTS: usize = 20_000;

pub(crate) fn measure() -> Vec<Measurement> {
    let mut time = Measurement::new(
        "admission and end of one request, microseconds",
        "endpoints",
    );
    for size in SIZES {
        let mut pool = Pool::new(64, 1);
        for number in 0..size {
            let domain = format!("domain-{}", number % 3);
            pool.insert(EndpointState::new(&format!("engine-{number}"), &domain, 8));
        }
        let mut now_ms = 0;
        let values = time_repeats_ms(|| {
            for _ in 0..REQUESTS {
                now_ms += 1;
                admit_and_finish(&mut pool, now_ms);
            }
        });
        let per_request_us: Vec<f64> = values.iter().map(|ms| ms * 1e3 / REQUESTS as f64).collect();
        time = time.with_point(size, &per_request_us);
    }
    vec![time]
}

fn admit_and_finish(pool: &mut Pool, now_ms: u64) {
    let mut demand = Demand::caller(now_ms + 10_000);
    demand.prefix = Some(now_ms % 64);
    let Admission::Dispatch(dispatch) = pool.admit(now_ms, demand) else {
        return;
    };
    let outcome = Outcome::Completed {
        elapsed_ms: 100,
        tokens: 100,
    };
    black_box(pool.finish(now_ms + 1, dispatch.ticket, outcome));
}
