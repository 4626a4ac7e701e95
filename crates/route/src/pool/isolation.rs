//! Isolated execution of requests that are suspected of crashing endpoints.

use super::{Dequeued, Pool, State, Ticket};
use crate::suspect::SuspectStatus;
use crate::{Admission, Demand, Dispatch, EndpointKey, Reason, TicketKey};

/// At most one in this many available endpoints, but at least one, is reserved for suspects.
const ISOLATION_DIVISOR: usize = 4;

impl Pool {
    pub(super) fn admit_suspect(&mut self, now_ms: u64, demand: Demand) -> Admission {
        if self.awaiting_isolation.len() >= self.queue_length {
            return Admission::Refuse(self.refusal(now_ms, Reason::QueueFull, &demand));
        }
        let state = State::AwaitingIsolation;
        let ticket = self.tickets.insert(Ticket { demand, state });
        self.awaiting_isolation.push(ticket);
        match self.start_isolated(now_ms, ticket) {
            Some(endpoint) => {
                self.awaiting_isolation.retain(|&other| other != ticket);
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

    pub(super) fn dispatch_isolated(&mut self, now_ms: u64, dequeued: &mut Vec<Dequeued>) {
        for ticket in self.awaiting_isolation.clone() {
            let demand = &self.tickets[ticket].demand;
            let endpoint = match self.suspect_status(now_ms, demand) {
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
                SuspectStatus::Suspect => match self.start_isolated(now_ms, ticket) {
                    Some(endpoint) => Ok(endpoint),
                    None => continue,
                },
            };
            self.awaiting_isolation.retain(|&other| other != ticket);
            if endpoint.is_err() {
                self.remove_ticket(ticket);
            }
            dequeued.push(Dequeued { ticket, endpoint });
        }
    }

    /// Moves a cleared suspect to the regular queue.
    pub(super) fn requeue(&mut self, ticket: TicketKey) {
        self.awaiting_isolation.retain(|&other| other != ticket);
        self.unreserve(ticket);
        let entry = &mut self.tickets[ticket];
        entry.state = State::Queued(self.queue.push(ticket, &entry.demand));
    }

    pub(super) fn suspect_status(&self, now_ms: u64, demand: &Demand) -> SuspectStatus {
        let status = demand
            .digest
            .map(|digest| self.suspects.status(now_ms, digest));
        status.unwrap_or(SuspectStatus::Normal)
    }

    /// Reserves an endpoint for a suspect and starts the request once the endpoint is idle.
    pub(super) fn start_isolated(&mut self, now_ms: u64, ticket: TicketKey) -> Option<EndpointKey> {
        let reservation = self
            .endpoints
            .iter()
            .find(|(_, state)| state.reserved == Some(ticket));
        let endpoint = match reservation.map(|(key, _)| key) {
            Some(key) if self.endpoints[key].is_available(now_ms) => key,
            _ => self.reserve(now_ms, ticket)?,
        };
        if self.endpoints[endpoint].in_flight > 0 {
            return None;
        }
        self.mark_running(now_ms, ticket, endpoint);
        Some(endpoint)
    }

    pub(super) fn reserve(&mut self, now_ms: u64, ticket: TicketKey) -> Option<EndpointKey> {
        self.unreserve(ticket);
        let digest = self.tickets[ticket].demand.digest?;
        let available = || {
            self.endpoints
                .iter()
                .filter(|(_, state)| state.is_available(now_ms))
        };
        let reserved = available()
            .filter(|(_, state)| state.reserved.is_some())
            .count();
        if reserved >= (available().count() / ISOLATION_DIVISOR).max(1) {
            return None;
        }
        let free = available().filter(|(_, state)| state.reserved.is_none());
        let (key, _) = free.min_by_key(|(_, state)| {
            let crashed = self.suspects.has_crashed(digest, &state.endpoint);
            (
                crashed,
                !state.owned,
                state.in_flight + state.peer_in_flight(now_ms) as u32,
            )
        })?;
        self.endpoints[key].reserved = Some(ticket);
        Some(key)
    }
}
