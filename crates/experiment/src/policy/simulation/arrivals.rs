//! Generation of requests.

use super::*;

impl<P: Policy> Simulation<'_, P> {
    pub(super) fn generate_arrival(&mut self, index: usize) {
        let stream = &self.scenario.streams[index];
        let until_ms = stream.until_ms.unwrap_or(self.scenario.duration_ms);
        if self.now_ms >= until_ms {
            return;
        }
        let request = self.generate_request(stream);
        self.submit(request);
        let rate = stream.load * self.scenario.tokens_per_second() / stream.mean_tokens();
        let gap_s = -(1.0 - self.arrival_rng.random::<f64>()).ln() / rate;
        // Keeps fractions of a millisecond, since rounding each gap would change the rate.
        let next_ms = self.next_arrival_ms[index].max(stream.from_ms as f64) + gap_s * 1_000.0;
        self.next_arrival_ms[index] = next_ms;
        self.schedule_at(
            (next_ms as u64).max(self.now_ms),
            Event::GenerateArrival(index),
        );
    }

    pub(super) fn generate_request(&mut self, stream: &Stream) -> Request {
        let tokens = self
            .arrival_rng
            .random_range(stream.least_tokens..=stream.greatest_tokens);
        let prefix = match stream.prefixes {
            0 => None,
            // Squaring makes some prefixes far more frequent than others.
            count => Some((self.arrival_rng.random::<f64>().powi(2) * count as f64) as u64),
        };
        let digest = Digest(self.arrival_rng.random());
        Request {
            prefix,
            prefill_tokens: stream.prefill_tokens,
            resends: stream.resends,
            max_tokens: stream.greatest_tokens,
            ..Request::new(
                stream.kind,
                self.now_ms,
                self.now_ms + stream.deadline_ms,
                tokens,
                digest,
            )
        }
    }

    pub(super) fn submit(&mut self, request: Request) {
        let index = self.requests.len();
        self.schedule_after(request.deadline_ms - self.now_ms, Event::Expire(index));
        self.requests.push(request);
        self.arrive(index);
    }
}
