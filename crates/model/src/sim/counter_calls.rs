//! Calls from limiters to the quota counter.

use sedgestack::{Event as LimiterEvent, Outcome};
use sedgestack_fleet::Micros;

use super::events::Event;
use super::inbox::CPU_OTHER;
use super::World;
use crate::counter::Answer;

/// A call to the quota counter.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    /// The name of the total.
    pub name: u64,
    /// The amount to add to the total.
    pub amount: f64,
    /// Time after which a new name expires.
    pub time_to_live: Micros,
    /// The number of the call, unique within an incarnation of the limiter.
    pub serial: u64,
}

impl World<'_> {
    pub(super) fn call_counter(
        &mut self,
        number: u32,
        at: Micros,
        name: u64,
        amount: f64,
        time_to_live: Micros,
    ) {
        let limiter = &mut self.limiters[number as usize];
        let incarnation = limiter.incarnation;
        limiter.last_serial += 1;
        let serial = limiter.last_serial;
        limiter.calls.insert(serial, name);
        let delay = self.one_way_delay(number, self.fleet.counter.zone);
        let call = CounterCall { name, amount, time_to_live, serial };
        self.at(at + delay, Event::AtCounter { limiter: number, incarnation, call });
        let timeout = at + self.fleet.counter.timeout;
        self.at(timeout, Event::CounterTimesOut { limiter: number, incarnation, name, serial });
    }

    pub(super) fn on_call_at_counter(&mut self, number: u32, incarnation: u32, call: CounterCall) {
        if self.counter_lost_until.is_some() {
            return;
        }
        let CounterCall { name, serial, .. } = call;
        let (at, total) = match self.counter.add(self.now, name, call.amount, call.time_to_live) {
            Answer::Total(total, at) => (at, Some(total)),
            Answer::Busy => (self.now, None),
        };
        let delay = self.one_way_delay(number, self.fleet.counter.zone);
        self.at(at + delay, Event::CounterReplies { limiter: number, incarnation, name, serial, total });
    }

    pub(super) fn on_counter_reply(
        &mut self,
        number: u32,
        incarnation: u32,
        name: u64,
        serial: u64,
        total: Option<f64>,
    ) {
        if !self.close_call(number, incarnation, serial, total.is_some()) {
            return;
        }
        let outcome = if total.is_some() { Outcome::Ok } else { Outcome::Rejected };
        self.deliver(number, LimiterEvent::CounterReplied { name, outcome, total }, CPU_OTHER);
    }

    pub(super) fn on_counter_timeout(&mut self, number: u32, incarnation: u32, name: u64, serial: u64) {
        if !self.close_call(number, incarnation, serial, false) {
            return;
        }
        let event = LimiterEvent::CounterReplied { name, outcome: Outcome::TimedOut, total: None };
        self.deliver(number, event, CPU_OTHER);
    }

    /// Closes a call in flight. Returns false if the call is already closed or its limiter has died since.
    fn close_call(&mut self, number: u32, incarnation: u32, serial: u64, is_answered: bool) -> bool {
        let limiter = &mut self.limiters[number as usize];
        if limiter.incarnation != incarnation || limiter.calls.remove(&serial).is_none() {
            return false;
        }
        limiter.is_counter_answering = is_answered;
        self.current_second.counter_unanswered += u64::from(!is_answered);
        true
    }
}
