//! The inbox of a limiter: events wait until the limiter's CPU is free, then its decision logic handles them and the
//! resulting actions are carried out.

use sedgestack::{Action, Event as LimiterEvent, Outcome};
use sedgestack_fleet::Micros;

use super::clients::Answer;
use super::events::Event;
use super::{Step, World};

/// Share of the CPU time per request that handling its arrival takes.
pub const CPU_ARRIVAL: f64 = 0.5;
/// Share of the CPU time per request that handling the end of an attempt takes.
pub const CPU_ATTEMPT: f64 = 0.45;
/// Share of the CPU time per request that handling any other event takes.
pub const CPU_OTHER: f64 = 0.05;

impl World<'_> {
    /// Puts an event into a limiter's inbox. Handling it takes the share `cpu_part` of the CPU time per request.
    pub(super) fn deliver(&mut self, number: u32, event: LimiterEvent, cpu_part: f64) {
        let cpu_time = cpu_part * self.fleet.limiter.cpu_per_request / self.fleet.limiter.cores;
        let limiter = &mut self.limiters[number as usize];
        if !limiter.is_up {
            return;
        }
        limiter.inbox.push(event);
        limiter.inbox_cpu_time += cpu_time;
        if !limiter.is_scheduled {
            limiter.is_scheduled = true;
            let (at, incarnation) = (limiter.free_at.max(self.now), limiter.incarnation);
            self.at(at, Event::Handle { limiter: number, incarnation });
        }
    }

    pub(super) fn on_timer(&mut self, number: u32, incarnation: u32) {
        if self.limiters[number as usize].incarnation == incarnation {
            self.deliver(number, LimiterEvent::Timer, CPU_OTHER);
        }
    }

    /// Lets a limiter handle all events in its inbox. The attempts, answers and counter calls that result are sent once
    /// the CPU time of the events has passed.
    pub(super) fn handle_inbox(&mut self, number: u32, incarnation: u32) {
        let now = self.now;
        let limiter = &mut self.limiters[number as usize];
        if limiter.incarnation != incarnation || !limiter.is_up {
            return;
        }
        limiter.is_scheduled = false;
        let events = std::mem::take(&mut limiter.inbox);
        let cpu_time = std::mem::take(&mut limiter.inbox_cpu_time);
        limiter.free_at = now + cpu_time as Micros;
        limiter.busy += cpu_time;
        let done_at = limiter.free_at;
        for event in &events {
            if let LimiterEvent::Request(request) = event {
                self.tries[request.id as usize].handled_at = now;
            }
        }
        let actions = limiter.decisions.handle(now, &events);
        (self.observer)(&Step { limiter: number, now, events: &events, actions: &actions });
        // Reuses the memory of the vector.
        limiter.inbox = events;
        limiter.inbox.clear();
        for action in actions {
            self.carry_out(number, done_at, action);
        }
    }

    fn carry_out(&mut self, number: u32, at: Micros, action: Action) {
        let incarnation = self.limiters[number as usize].incarnation;
        match action {
            Action::StartAttempt { request, backend, timeout, .. } => {
                let backend = backend[1..].parse().expect("backend ids are w and a number");
                self.send_attempt(number, at, request as u32, backend, timeout);
            }
            Action::CancelAttempt { request, attempt } => {
                let attempts = &self.tries[request as usize].attempts;
                if let Some(&attempt) = attempts.get(attempt as usize) {
                    self.give_up_attempt(attempt, Outcome::Canceled);
                }
            }
            Action::Reject { request, retry_after } => {
                self.answer(request as u32, at, Answer::Rejected { retry_after });
            }
            Action::Fail { request } => self.answer(request as u32, at, Answer::Failed),
            Action::CallCounter { name, amount, time_to_live } => {
                self.call_counter(number, at, name, amount, time_to_live);
            }
            Action::SetTimer { after } => {
                self.at(self.now + after, Event::Timer { limiter: number, incarnation });
            }
            // The settings disable health checks and messages to peers, the endpoint list is sent without a
            // subscription, and the log is not part of the simulation.
            Action::HealthCheck { .. }
            | Action::Subscribe
            | Action::SendToPeers { .. }
            | Action::Log { .. } => {}
        }
    }
}
