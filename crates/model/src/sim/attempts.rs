//! Attempts of limiters to have a request served by a backend, and the connections that they use.

use sedgestack::{AttemptResult, Event as LimiterEvent, LoadReport, Outcome};
use sedgestack_fleet::Micros;

use super::clients::Answer;
use super::events::Event;
use super::inbox::CPU_ATTEMPT;
use super::limiters::IdleConnection;
use super::requests::DEADLINE_MARGIN;
use super::World;

/// A limiter closes an idle connection after the backends' keepalive time divided by this, as the daemon does.
const KEEPALIVE_DIVISOR: Micros = 3;

/// An attempt to have a try served by a backend.
pub struct Attempt {
    /// The index of the try.
    pub request: u32,
    /// The number of the attempt within its try.
    pub number: u32,
    /// The limiter that made the attempt.
    pub limiter: u32,
    /// The limiter's incarnation when the attempt was sent.
    pub incarnation: u32,
    /// The backend to which the attempt was sent.
    pub backend: u32,
    /// The backend's incarnation when the attempt was sent.
    pub backend_incarnation: u32,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// Whether a connection was opened for the attempt.
    pub is_new_connection: bool,
    /// When the limiter gives up the attempt.
    pub deadline: Micros,
    /// Whether the limiter knows the outcome.
    pub is_ended: bool,
    /// Whether the attempt holds a connection.
    pub is_connected: bool,
    /// Whether the backend counts that connection as open.
    pub is_counted: bool,
    /// The load report in the answer.
    pub report: LoadReport,
}

impl World<'_> {
    /// A limiter sends a request to a backend.
    pub(super) fn send_attempt(
        &mut self,
        number: u32,
        at: Micros,
        request: u32,
        backend: u32,
        timeout: Option<Micros>,
    ) {
        let zone = self.locations[backend as usize].zone;
        let is_reused = self.reuse_connection(number, backend);
        let attempt = self.add_attempt(number, request, backend, timeout, !is_reused);
        self.current_second.attempts_by_zone.resize(self.fleet.zones.len(), 0);
        self.current_second.attempts_by_zone[zone] += 1;
        self.at(self.attempts[attempt as usize].deadline, Event::AttemptTimesOut { attempt });
        let delay = self.one_way_delay(number, zone);
        let host = &self.backends[backend as usize];
        if host.is_silent {
            // A new connection times out; on an open one, the attempt stays unanswered.
            if !is_reused {
                let given_up_at = at + self.fleet.rules.connect_timeout;
                self.at(given_up_at, Event::AttemptEnds { attempt, outcome: Outcome::ConnectFailed });
            }
        } else if host.process.is_none() || !(is_reused || self.open_connection(backend)) {
            self.at(at + 2 * delay, Event::AttemptEnds { attempt, outcome: Outcome::ConnectFailed });
        } else {
            self.attempts[attempt as usize].is_counted = true;
            let handshake = if is_reused { 0 } else { 2 * self.one_way_delay(number, zone) };
            self.at(at + handshake + delay, Event::AtBackend { attempt });
        }
    }

    /// Closes stale idle connections to a backend and takes one of the others. Returns whether there was one. If not, a
    /// new connection is counted for the limiter.
    fn reuse_connection(&mut self, number: u32, backend: u32) -> bool {
        let oldest_idle_since = self.now.saturating_sub(self.fleet.rules.keepalive / KEEPALIVE_DIVISOR);
        let current = self.backends[backend as usize].incarnation;
        let limiter = &mut self.limiters[number as usize];
        let idle = &mut limiter.idle[backend as usize];
        let is_current = |connection: &IdleConnection| connection.incarnation == current;
        let before = idle.len();
        let stale = idle
            .iter()
            .filter(|connection| connection.since < oldest_idle_since && is_current(connection))
            .count();
        idle.retain(|connection| connection.since >= oldest_idle_since && is_current(connection));
        let removed = before - idle.len();
        let is_reused = idle.pop().is_some();
        limiter.connections -= removed;
        limiter.connections += usize::from(!is_reused);
        for _ in 0..stale {
            self.close_connection(backend, current);
        }
        is_reused
    }

    /// Records a new attempt and returns its index.
    fn add_attempt(
        &mut self,
        number: u32,
        request: u32,
        backend: u32,
        timeout: Option<Micros>,
        is_new_connection: bool,
    ) -> u32 {
        let attempt = self.attempts.len() as u32;
        let client_try = &mut self.tries[request as usize];
        let deadline = (client_try.sent_at + client_try.patience).saturating_sub(DEADLINE_MARGIN);
        let deadline = timeout.map_or(deadline, |timeout| deadline.min(self.now + timeout));
        client_try.attempts.push(attempt);
        self.attempts.push(Attempt {
            request,
            number: client_try.attempts.len() as u32 - 1,
            limiter: number,
            incarnation: self.limiters[number as usize].incarnation,
            backend,
            backend_incarnation: self.backends[backend as usize].incarnation,
            sent_at: self.now,
            is_new_connection,
            deadline,
            is_ended: false,
            is_connected: true,
            is_counted: false,
            report: LoadReport::default(),
        });
        attempt
    }

    /// Handles the outcome of an attempt, once it has reached the limiter.
    pub(super) fn on_attempt_ended(&mut self, index: u32, outcome: Outcome) {
        if std::mem::replace(&mut self.attempts[index as usize].is_ended, true) {
            return;
        }
        self.release_connection(index, outcome);
        let attempt = &self.attempts[index as usize];
        let (request, limiter, incarnation) = (attempt.request, attempt.limiter, attempt.incarnation);
        let (number, latency, report) = (attempt.number, self.now - attempt.sent_at, attempt.report);
        if outcome == Outcome::Ok && !self.tries[request as usize].is_answered {
            self.answer(request, self.now, Answer::Served);
        }
        if self.limiters[limiter as usize].incarnation != incarnation {
            return;
        }
        let result = AttemptResult {
            request: u64::from(request),
            attempt: number,
            outcome,
            latency,
            request_done: self.tries[request as usize].is_answered,
            metered_usage: None,
            actual_units: None,
            report,
        };
        self.deliver(limiter, LimiterEvent::AttemptEnded(result), CPU_ATTEMPT);
    }

    /// Releases the connection of an attempt: keeps it for reuse if the backend answered, otherwise closes it.
    fn release_connection(&mut self, index: u32, outcome: Outcome) {
        let attempt = &mut self.attempts[index as usize];
        let (backend, incarnation) = (attempt.backend as usize, attempt.backend_incarnation);
        let has_answer = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        if has_answer && attempt.is_connected && self.backends[backend].incarnation == incarnation {
            attempt.is_connected = false;
            let idle = &mut self.limiters[attempt.limiter as usize].idle[backend];
            idle.push(IdleConnection { since: self.now, incarnation });
        } else {
            self.end_connection(index);
        }
    }

    pub(super) fn on_attempt_timeout(&mut self, attempt: u32) {
        self.give_up_attempt(attempt, Outcome::TimedOut);
    }

    /// Ends an attempt without waiting for its answer, and sends a cancellation to the backend.
    pub(super) fn give_up_attempt(&mut self, index: u32, outcome: Outcome) {
        let attempt = &self.attempts[index as usize];
        if attempt.is_ended {
            return;
        }
        let (limiter, zone) = (attempt.limiter, self.locations[attempt.backend as usize].zone);
        let delay = self.one_way_delay(limiter, zone);
        self.at(self.now + delay, Event::CancelAtBackend { attempt: index });
        self.on_attempt_ended(index, outcome);
    }

    /// Closes the connection of an attempt, if it still has one.
    pub(super) fn end_connection(&mut self, index: u32) {
        let attempt = &mut self.attempts[index as usize];
        if !std::mem::replace(&mut attempt.is_connected, false) {
            return;
        }
        let (backend, incarnation) = (attempt.backend, attempt.backend_incarnation);
        let limiter = &mut self.limiters[attempt.limiter as usize];
        limiter.connections = limiter.connections.saturating_sub(1);
        if attempt.is_counted {
            self.close_connection(backend, incarnation);
        }
    }
}
