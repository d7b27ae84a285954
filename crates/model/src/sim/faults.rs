//! The effects of faults when they begin and end.

use rand::Rng;
use sedgestack_fleet::Micros;

use super::events::Event;
use super::{World, START};
use crate::faults::Fault;

impl World<'_> {
    /// Whether the machines of a zone are unreachable.
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

    /// Loses the limiters of a zone, if `limiters` is set, and the quota counter if it runs there.
    fn lose_zone(&mut self, zone: usize, limiters: bool) {
        if limiters {
            for number in self.limiters_of(zone) {
                self.kill_limiter(number);
                self.notify_load_balancer(number, true);
            }
        }
        if self.fleet.counter.zone == zone {
            self.lose_counter(self.fleet.counter.recovery_time);
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

    /// Lets the clients' load balancer detect, after a delay, that a limiter is down or up again.
    fn notify_load_balancer(&mut self, number: u32, is_down: bool) {
        let (low, high) = self.fleet.discovery.limiter_removal_delay;
        let wait = if high > low { self.network.random_range(low..=high) } else { low };
        let incarnation = self.limiters[number as usize].incarnation;
        self.at(self.now + wait, Event::LoadBalancerDetects { limiter: number, is_down, incarnation });
    }

    pub(super) fn on_limiter_state_detected(&mut self, number: u32, is_down: bool, incarnation: u32) {
        if self.limiters[number as usize].incarnation == incarnation {
            self.known_down[number as usize] = is_down;
        }
    }

    /// Loses the quota counter for `span`, or until an earlier loss ends if that is later.
    fn lose_counter(&mut self, span: Micros) {
        let until = (self.now + span).max(self.counter_lost_until.unwrap_or(0));
        self.counter_lost_until = Some(until);
        self.at(until, Event::CounterBack);
    }

    /// Restarts the quota counter without its totals, unless another loss is still in effect.
    pub(super) fn on_counter_back(&mut self) {
        if self.counter_lost_until.is_some_and(|until| until <= self.now) {
            self.counter.clear();
            self.counter_lost_until = None;
        }
    }
}
