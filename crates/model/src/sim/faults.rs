//! Faults as they begin and as they end.

use rand::Rng;
use sedgestack_fleet::Micros;

use super::events::Event;
use super::{World, START};
use crate::faults::Fault;

impl World<'_> {
    /// Whether a zone is cut off, so that its machines say nothing.
    pub(super) fn is_zone_silent(&self, zone: usize) -> bool {
        let now = self.now.saturating_sub(START);
        let silences = |fault: &Fault| {
            matches!(fault, Fault::ZoneLost { zone: lost, silent: true, .. } if *lost == zone)
                && (fault.starts_at()..fault.ends_at()).contains(&now)
        };
        self.faults.iter().any(silences)
    }

    fn limiters_of(&self, zone: usize) -> Vec<u32> {
        let numbers = 0..self.limiters.len() as u32;
        numbers.filter(|number| self.limiter_zones[*number as usize] == zone).collect()
    }

    pub(super) fn begin_fault(&mut self, fault: u32) {
        let fault = self.faults[fault as usize];
        for backend in fault.affected_backends(self.fleet, self.seed) {
            if matches!(fault, Fault::ZoneLost { silent: true, .. }) {
                self.backends[backend].is_silent = true;
            }
            self.kill_backend(backend as u32);
        }
        match fault {
            Fault::ZoneLost { zone, limiters, .. } => self.lose_zone(zone, limiters),
            Fault::CounterLost { span, .. } => self.lose_counter(span),
            Fault::BackendsCrash { .. } => {}
        }
    }

    /// A zone's limiters are lost if `limiters` says so, and the counter if it is there.
    fn lose_zone(&mut self, zone: usize, limiters: bool) {
        if limiters {
            for number in self.limiters_of(zone) {
                self.kill_limiter(number);
                self.notify_load_balancer(number, true);
            }
        }
        if self.fleet.counter.zone == zone {
            self.lose_counter(self.fleet.counter.back_after);
        }
    }

    pub(super) fn end_fault(&mut self, fault: u32) {
        let fault = self.faults[fault as usize];
        for backend in fault.affected_backends(self.fleet, self.seed) {
            self.restart_backend(backend as u32);
        }
        if let Fault::ZoneLost { zone, limiters: true, .. } = fault {
            for number in self.limiters_of(zone) {
                self.restart_limiter(number);
                self.notify_load_balancer(number, false);
            }
        }
    }

    /// Clients' load balancer learns that a limiter is down, or up again, after a while.
    fn notify_load_balancer(&mut self, number: u32, is_down: bool) {
        let (low, high) = self.fleet.discovery.front_notice;
        let wait = if high > low { self.network.random_range(low..=high) } else { low };
        let incarnation = self.limiters[number as usize].incarnation;
        self.at(self.now + wait, Event::LoadBalancerLearns { limiter: number, is_down, incarnation });
    }

    pub(super) fn on_limiter_state_learnt(&mut self, number: u32, is_down: bool, incarnation: u32) {
        if self.limiters[number as usize].incarnation == incarnation {
            self.known_down[number as usize] = is_down;
        }
    }

    /// The counter answers nothing for `span`, or for as long as an earlier loss lasts.
    fn lose_counter(&mut self, span: Micros) {
        let until = (self.now + span).max(self.counter_lost_until.unwrap_or(0));
        self.counter_lost_until = Some(until);
        self.at(until, Event::CounterBack);
    }

    /// The counter runs again, empty, unless another loss goes on.
    pub(super) fn on_counter_back(&mut self) {
        if self.counter_lost_until.is_some_and(|until| until <= self.now) {
            self.counter.clear();
            self.counter_lost_until = None;
        }
    }
}
