//! Requests that are suspected of crashing endpoints run alone.

use wisteriapoint_types::EndpointName;

use super::{Dequeued, Pool, State, Ticket};
use crate::suspect::SuspectStatus;
use crate::{Admission, Demand, Dispatch, EndpointKey, Reason, TicketKey};

/// Time within which crashes in one failure domain count as one event, in milliseconds.
const TOGETHER_MS: u64 = 100;
/// One endpoint in so many may be kept for a suspect.
const SOLO_DIVISOR: usize = 4;

impl Pool {
    pub(super) fn admit_suspect(&mut self, now_ms: u64, demand: Demand) -> Admission {
        if self.solo.len() >= self.queue_length {
            return Admission::Refuse(self.refusal(now_ms, Reason::QueueFull, &demand));
        }
        let state = State::Solo;
        let ticket = self.tickets.insert(Ticket { demand, state });
        self.solo.push(ticket);
        match self.start_solo(now_ms, ticket) {
            Some(endpoint) => {
                self.solo.retain(|&other| other != ticket);
                Admission::Dispatch(Dispatch { ticket, endpoint })
            }
            None => Admission::Wait(ticket),
        }
    }

    pub(super) fn unreserve(&mut self, ticket: TicketKey) {
        for state in self.endpoints.values_mut() {
            if state.reserved == Some(ticket) {
                state.reserved = None;
            }
        }
    }

    /// Endpoints of one failure domain that crash together were not crashed by a request.
    pub(super) fn pardon_crashed_together(&mut self, now_ms: u64, endpoint: EndpointKey) {
        self.crashes
            .retain(|&(at_ms, other)| at_ms + TOGETHER_MS > now_ms && other != endpoint);
        self.crashes.push((now_ms, endpoint));
        let failure_domain = self.endpoints[endpoint].failure_domain.clone();
        let recent = self.crashes.iter();
        let together: Vec<EndpointName> = recent
            .filter_map(|&(_, other)| self.endpoints.get(other))
            .filter(|state| state.failure_domain == failure_domain)
            .map(|state| state.endpoint.clone())
            .collect();
        if together.len() > 1 {
            let since_ms = now_ms.saturating_sub(TOGETHER_MS);
            self.suspects.discard_correlated(since_ms, &together);
        }
    }

    pub(super) fn wake_solo(&mut self, now_ms: u64, woken: &mut Vec<Dequeued>) {
        for ticket in self.solo.clone() {
            let demand = &self.tickets[ticket].demand;
            let endpoint = match self.standing(now_ms, demand) {
                SuspectStatus::Quarantined => {
                    Err(self.refusal(now_ms, Reason::Quarantined, demand))
                }
                _ if demand.deadline_ms <= now_ms => {
                    Err(self.refusal(now_ms, Reason::Deadline, demand))
                }
                SuspectStatus::Normal => {
                    self.requeue(ticket);
                    continue;
                }
                SuspectStatus::Suspect => match self.start_solo(now_ms, ticket) {
                    Some(endpoint) => Ok(endpoint),
                    None => continue,
                },
            };
            self.solo.retain(|&other| other != ticket);
            if endpoint.is_err() {
                self.forget(ticket);
            }
            woken.push(Dequeued { ticket, endpoint });
        }
    }

    /// Puts a suspect that is cleared in line with the others.
    pub(super) fn requeue(&mut self, ticket: TicketKey) {
        self.solo.retain(|&other| other != ticket);
        self.unreserve(ticket);
        let held = &mut self.tickets[ticket];
        held.state = State::Queued(self.queue.push(ticket, &held.demand));
    }

    pub(super) fn standing(&self, now_ms: u64, demand: &Demand) -> SuspectStatus {
        let standing = demand
            .digest
            .map(|digest| self.suspects.status(now_ms, digest));
        standing.unwrap_or(SuspectStatus::Normal)
    }

    /// Reserves an endpoint for a suspect and starts it there once it is empty.
    pub(super) fn start_solo(&mut self, now_ms: u64, ticket: TicketKey) -> Option<EndpointKey> {
        let held = self
            .endpoints
            .iter()
            .find(|(_, state)| state.reserved == Some(ticket));
        let endpoint = match held.map(|(key, _)| key) {
            Some(key) if self.endpoints[key].is_open(now_ms) => key,
            _ => self.reserve(now_ms, ticket)?,
        };
        if self.endpoints[endpoint].in_flight > 0 {
            return None;
        }
        self.run(now_ms, ticket, endpoint);
        Some(endpoint)
    }

    pub(super) fn reserve(&mut self, now_ms: u64, ticket: TicketKey) -> Option<EndpointKey> {
        self.unreserve(ticket);
        let digest = self.tickets[ticket].demand.digest?;
        let open = || {
            self.endpoints
                .iter()
                .filter(|(_, state)| state.is_open(now_ms))
        };
        let reserved = open().filter(|(_, state)| state.reserved.is_some()).count();
        if reserved >= (open().count() / SOLO_DIVISOR).max(1) {
            return None;
        }
        let free = open().filter(|(_, state)| state.reserved.is_none());
        let (key, _) = free.min_by_key(|(_, state)| {
            let struck = self.suspects.has_crashed(digest, &state.endpoint);
            (
                struck,
                !state.owned,
                state.in_flight + state.peer_in_flight(now_ms) as u32,
            )
        })?;
        self.endpoints[key].reserved = Some(ticket);
        Some(key)
    }
}
