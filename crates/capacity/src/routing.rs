//! Choice of an endpoint: processor time.

use std::hint::black_box;

use wisteriapoint_route::{Admission, Demand, EndpointState, Outcome, Pool};

use crate::slope::Slope;
use crate::views::timed;

const SIZES: [usize; 4] = [9, 36, 128, 512];
const REQUESTS: usize = 20_000;

pub(crate) fn measure() -> Vec<Slope> {
    let mut time = Slope::new(
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
        let values = timed(|| {
            for _ in 0..REQUESTS {
                now_ms += 1;
                dispatch(&mut pool, now_ms);
            }
        });
        let each: Vec<f64> = values.iter().map(|ms| ms * 1e3 / REQUESTS as f64).collect();
        time = time.with_point(size, &each);
    }
    vec![time]
}

fn dispatch(pool: &mut Pool, now_ms: u64) {
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
