//! Clients: they send the first tries of the demand, give up after a timeout, and retry at most once.

use rand::Rng;

use sedgestack_fleet::Micros;

use super::events::Event;
use super::{World, START};
use crate::demand::{draw_limiter, Arrival};
use crate::score::FirstTry;

/// A final answer on its way to a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The answer of a backend.
    Served,
    /// A rejection.
    Rejected {
        /// Delay after which the client may retry; 0 if the limiter gives none.
        retry_after: Micros,
    },
    /// An error.
    Failed,
}

/// A request as sent by a client: a first try or a retry.
pub struct Try {
    /// Index of the first try in the demand.
    pub arrival: u32,
    /// Whether this is a retry.
    pub is_retry: bool,
    /// When the client sent the try.
    pub sent_at: Micros,
    /// The limiter to which the try was sent.
    pub limiter: u32,
    /// How long the client waits for an answer.
    pub patience: Micros,
    /// Whether the limiter has received the try and not yet answered it.
    pub is_open: bool,
    /// When the limiter received the try.
    pub received_at: Micros,
    /// The incarnation of the limiter that received the try.
    pub incarnation: u32,
    /// When the limiter's decision logic handled the try.
    pub handled_at: Micros,
    /// Whether the limiter is done with the try: answered, abandoned by the client, or lost with the limiter.
    pub is_answered: bool,
    /// Whether the client has its answer or has given up.
    pub is_done: bool,
    /// Indices of the attempts in the run.
    pub attempts: Vec<u32>,
    /// Whether a backend received an attempt of the try completely.
    pub is_forwarded: bool,
    /// Whether the limiter's last call to the quota counter had been answered when the try arrived.
    pub is_counter_answering: bool,
}

impl World<'_> {
    pub(super) fn send_first_try(&mut self) {
        let demand = self.demand;
        let index = self.next_arrival;
        let &Arrival { class, plan, customer, units, .. } = &demand.arrivals[index];
        self.scorer.record_first_try(index as u64, FirstTry { at: self.now, class, plan, customer, units });
        self.counts.first_tries += 1;
        self.send_try(index as u32, false);
        self.next_arrival += 1;
        if let Some(next) = demand.arrivals.get(self.next_arrival) {
            self.at(START + next.at, Event::FirstTry);
        }
    }

    pub(super) fn send_client_retry(&mut self, request: u32) {
        let arrival = self.tries[request as usize].arrival;
        self.counts.retries += 1;
        self.scorer.record_retry(u64::from(arrival), self.now);
        self.send_try(arrival, true);
    }

    fn send_try(&mut self, arrival: u32, is_retry: bool) {
        let first_try = self.demand.arrivals[arrival as usize];
        let limiters = self.limiters.len() as u32;
        let (load, seed, now) = (&self.fleet.load, self.seed, self.now);
        let limiter =
            draw_limiter(load, seed, &first_try, now, limiters, &self.known_down, &mut self.clients);
        let request = self.tries.len() as u32;
        self.tries.push(Try {
            arrival,
            is_retry,
            sent_at: now,
            limiter,
            patience: first_try.timeout,
            is_open: false,
            received_at: 0,
            incarnation: 0,
            handled_at: 0,
            is_answered: false,
            is_done: false,
            attempts: Vec::new(),
            is_forwarded: false,
            is_counter_answering: true,
        });
        let delay = self.jittered(self.fleet.delays.client);
        self.at(now + delay, Event::AtLimiter { request });
        self.at(now + first_try.timeout, Event::ClientTimesOut { request });
    }

    pub(super) fn on_client_timeout(&mut self, request: u32) {
        if std::mem::replace(&mut self.tries[request as usize].is_done, true) {
            return;
        }
        self.end_unserved(request, 0);
        self.on_client_disconnected(request);
    }

    pub(super) fn on_answer_at_client(&mut self, request: u32, answer: Answer) {
        let client_try = &mut self.tries[request as usize];
        if std::mem::replace(&mut client_try.is_done, true) {
            return;
        }
        let arrival = u64::from(client_try.arrival);
        match answer {
            Answer::Served => {
                self.scorer.record_served(arrival, self.now);
                self.scorer.record_closed(arrival);
            }
            Answer::Rejected { retry_after } => self.end_unserved(request, retry_after),
            Answer::Failed => self.end_unserved(request, 0),
        }
    }

    /// Ends a try that a backend did not answer. The client may retry a first try.
    fn end_unserved(&mut self, request: u32, retry_after: Micros) {
        let clients = &self.fleet.clients;
        let client_try = &self.tries[request as usize];
        // Both are always drawn, so that changing one setting does not change the draws for the other.
        let (retry_draw, honour_draw) = (self.clients.random::<f64>(), self.clients.random::<f64>());
        if client_try.is_retry || retry_draw >= clients.retries {
            self.scorer.record_closed(u64::from(client_try.arrival));
            return;
        }
        let is_honoured = retry_after > 0 && honour_draw < clients.honour_share;
        let wait = if is_honoured { retry_after.max(clients.backoff) } else { clients.backoff };
        self.at(self.now + wait, Event::ClientRetry { request });
    }
}
