//! Requests at limiters, from receipt to answer.

use sedgestack::{Event as LimiterEvent, Request};
use sedgestack_fleet::Micros;

use super::clients::Answer;
use super::events::Event;
use super::inbox::{CPU_ARRIVAL, CPU_OTHER};
use super::{ObservedOutcome, ObservedRequest, World, START};
use crate::streams::mix_bits;

/// Time that a limiter subtracts from a client's deadline for the answer's way back, as the daemon does.
pub const DEADLINE_MARGIN: Micros = 2_000;

impl World<'_> {
    /// Handles a try that reaches its limiter.
    pub(super) fn on_request(&mut self, request: u32) {
        let client_try = &mut self.tries[request as usize];
        let number = client_try.limiter;
        let arrival = self.demand.arrivals[client_try.arrival as usize];
        let limiter = &mut self.limiters[number as usize];
        if !limiter.is_up {
            self.refuse_connection(request, number);
            return;
        }
        limiter.clients += 1;
        client_try.is_open = true;
        client_try.received_at = self.now;
        client_try.incarnation = limiter.incarnation;
        client_try.is_counter_answering = limiter.is_counter_answering;
        self.counts.received += 1;
        self.current_second.received += 1;
        let deadline = client_try.sent_at + client_try.patience;
        let received = Request {
            id: u64::from(request),
            class: limiter.indices.classes[arrival.class],
            plan: limiter.indices.plans[arrival.plan],
            customer: arrival.customer,
            units: arrival.units,
            timeout: deadline.saturating_sub(self.now + DEADLINE_MARGIN),
            spread: arrival.spread,
        };
        self.deliver(number, LimiterEvent::Request(received), CPU_ARRIVAL);
    }

    /// Handles a try for a limiter that is down: the connection is refused, or unanswered if the machine is
    /// unreachable.
    fn refuse_connection(&mut self, request: u32, number: u32) {
        self.counts.unreached += 1;
        if !self.is_zone_silent(self.limiter_zones[number as usize]) {
            let delay = self.jittered(self.fleet.delays.client);
            self.at(self.now + delay, Event::AtClient { request, answer: Answer::Failed });
        }
    }

    /// Notifies a limiter that a client has closed its connection.
    pub(super) fn on_client_disconnected(&mut self, request: u32) {
        let client_try = &self.tries[request as usize];
        if client_try.is_open && !client_try.is_answered {
            let number = client_try.limiter;
            self.close_request(request, ObservedOutcome::Abandoned, None);
            self.deliver(number, LimiterEvent::Abandoned { request: u64::from(request) }, CPU_OTHER);
        }
    }

    /// Sends the answer of a limiter to a request, unless the request is closed already: a backend's answer may
    /// overtake a rejection that is decided but not sent yet, as in the daemon.
    pub(super) fn answer(&mut self, request: u32, at: Micros, answer: Answer) {
        let client_try = &self.tries[request as usize];
        if !client_try.is_open {
            return;
        }
        let outcome = match answer {
            Answer::Served => ObservedOutcome::Served,
            Answer::Rejected { .. } => ObservedOutcome::Rejected,
            Answer::Failed => ObservedOutcome::Failed,
        };
        // Requests beyond the customer's quota slice are rejected when they are handled. Those rejected later have
        // waited for capacity.
        let has_waited = client_try.handled_at < self.now;
        if !client_try.is_forwarded && answer != Answer::Served && has_waited {
            self.scorer.record_capacity_shortage(u64::from(client_try.arrival));
        }
        let last_attempt = client_try.attempts.last();
        let backend = last_attempt.map(|attempt| self.attempts[*attempt as usize].backend);
        self.close_request(request, outcome, backend);
        let delay = self.jittered(self.fleet.delays.client);
        self.at(at + delay, Event::AtClient { request, answer });
    }

    /// Closes a request at its limiter and counts its outcome.
    fn close_request(&mut self, request: u32, outcome: ObservedOutcome, backend: Option<u32>) {
        let client_try = &mut self.tries[request as usize];
        client_try.is_answered = true;
        client_try.is_open = false;
        let limiter = &mut self.limiters[client_try.limiter as usize];
        limiter.clients = limiter.clients.saturating_sub(1);
        self.count_outcome(outcome);
        if self.record {
            let observed = self.observed_request(request, outcome, backend);
            self.observed.push(observed);
        }
    }

    fn count_outcome(&mut self, outcome: ObservedOutcome) {
        let counts = &mut self.counts;
        match outcome {
            ObservedOutcome::Served => counts.served += 1,
            ObservedOutcome::Rejected => {
                counts.rejected += 1;
                self.current_second.rejected += 1;
            }
            ObservedOutcome::Failed => {
                counts.failed += 1;
                self.current_second.failed += 1;
            }
            ObservedOutcome::Abandoned => counts.abandoned += 1,
        }
    }

    fn observed_request(
        &self,
        request: u32,
        outcome: ObservedOutcome,
        backend: Option<u32>,
    ) -> ObservedRequest {
        let client_try = &self.tries[request as usize];
        let arrival = &self.demand.arrivals[client_try.arrival as usize];
        let deadline = client_try.sent_at + client_try.patience;
        ObservedRequest {
            limiter: client_try.limiter,
            at: client_try.received_at - START,
            class: arrival.class,
            plan: arrival.plan,
            customer: arrival.customer,
            units: arrival.units,
            spread: arrival.spread,
            first_limiter: arrival.first_limiter,
            timeout: deadline.saturating_sub(client_try.received_at),
            is_retry: client_try.is_retry,
            key: mix_bits(self.seed ^ u64::from(client_try.arrival)),
            outcome,
            latency: self.now - client_try.received_at,
            backend,
            attempts: client_try.attempts.len() as u32,
            is_counter_answering: client_try.is_counter_answering,
        }
    }
}
