//! Clients: first tries by the demand, patience, and one retry at most.

use rand::Rng;

use sedgestack_fleet::Micros;

use super::events::Event;
use super::{World, START};
use crate::demand::{draw_limiter, Arrival};
use crate::score::FirstTry;

/// A final answer on its way to a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// A backend's answer.
    Served,
    /// A rejection.
    Rejected {
        /// After which a retry is welcome; 0 for no such hint.
        retry_after: Micros,
    },
    /// An error.
    Failed,
}

/// One try of a client.
pub struct Try {
    /// The first try's index in the demand.
    pub arrival: u32,
    /// Whether it is a retry.
    pub is_retry: bool,
    /// When its client sent it.
    pub sent_at: Micros,
    /// The limiter that it was sent to.
    pub limiter: u32,
    /// How long its client waits.
    pub patience: Micros,
    /// Whether a limiter has it and has not answered.
    pub is_open: bool,
    /// When the limiter received it.
    pub received_at: Micros,
    /// The incarnation of the limiter then.
    pub incarnation: u32,
    /// When the limiter's decisions were notified of it.
    pub handled_at: Micros,
    /// Whether its limiter owes nothing more for it.
    pub is_answered: bool,
    /// Whether the client has its answer or has given up.
    pub is_done: bool,
    /// Its attempts, by their index in the run.
    pub attempts: Vec<u32>,
    /// Whether an attempt reached a backend whole.
    pub is_forwarded: bool,
    /// Whether the limiter's last call to the counter had been answered when it came.
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
        let demanded = self.demand.arrivals[arrival as usize];
        let limiters = self.limiters.len() as u32;
        let (load, seed, now) = (&self.fleet.load, self.seed, self.now);
        let limiter = draw_limiter(load, seed, &demanded, now, limiters, &self.known_down, &mut self.clients);
        let request = self.tries.len() as u32;
        self.tries.push(Try {
            arrival,
            is_retry,
            sent_at: now,
            limiter,
            patience: demanded.timeout,
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
        self.at(now + demanded.timeout, Event::ClientTimesOut { request });
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

    /// A try ended without a backend's answer: its client may retry, once.
    fn end_unserved(&mut self, request: u32, retry_after: Micros) {
        let clients = &self.fleet.clients;
        let client_try = &self.tries[request as usize];
        // Both are drawn for every try, so that one setting does not move the draws of the other.
        let (retry_draw, honour_draw) = (self.clients.random::<f64>(), self.clients.random::<f64>());
        if client_try.is_retry || retry_draw >= clients.retries {
            self.scorer.record_closed(u64::from(client_try.arrival));
            return;
        }
        let is_honoured = retry_after > 0 && honour_draw < clients.honour;
        let wait = if is_honoured { retry_after.max(clients.backoff) } else { clients.backoff };
        self.at(self.now + wait, Event::ClientRetry { request });
    }
}
