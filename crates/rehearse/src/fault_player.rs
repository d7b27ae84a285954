//! Starts and ends faults on the stand-ins at their scheduled times.

use std::time::Duration;

use tokio::time::{sleep_until, Instant};

use sedgestack_fleet::{Fleet, Micros};
use sedgestack_model::Fault;

use crate::backends::Backends;
use crate::counter::Counter;
use crate::discovery::Discovery;

/// The stand-ins that faults act on.
pub struct FaultPlayer {
    pub fleet: Fleet,
    /// Seed that selects the affected backends.
    pub seed: u64,
    pub backends: Backends,
    pub counter: Counter,
    pub discovery: Discovery,
}

/// The start or end of the fault with this index, or the return of the quota counter. Events at the same time are
/// handled in the derived order: by variant, then by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FaultEnds(usize),
    /// The quota counter of a lost zone has been restarted in another zone.
    CounterResumes,
    FaultBegins(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Micros,
    event: Event,
}

impl FaultPlayer {
    /// Plays all faults, with times relative to `start`.
    pub async fn play(self, faults: Vec<Fault>, start: Instant) {
        for ScheduledEvent { at, event } in self.schedule(&faults) {
            sleep_until(start + Duration::from_micros(at)).await;
            match event {
                Event::FaultBegins(n) => self.begin(&faults[n]),
                Event::FaultEnds(n) => self.end(&faults[n]).await,
                Event::CounterResumes => self.counter.resume_empty(),
            }
        }
    }

    fn schedule(&self, faults: &[Fault]) -> Vec<ScheduledEvent> {
        let mut events = Vec::new();
        for (n, fault) in faults.iter().enumerate() {
            events.push(ScheduledEvent { at: fault.starts_at(), event: Event::FaultBegins(n) });
            events.push(ScheduledEvent { at: fault.ends_at(), event: Event::FaultEnds(n) });
            if self.affects_counter_zone(fault) {
                let at = fault.starts_at() + self.fleet.counter.recovery_time;
                events.push(ScheduledEvent { at, event: Event::CounterResumes });
            }
        }
        events.sort_unstable();
        events
    }

    /// Whether a fault takes down the zone of the quota counter.
    fn affects_counter_zone(&self, fault: &Fault) -> bool {
        matches!(fault, Fault::ZoneLost { zone, .. } if *zone == self.fleet.counter.zone)
    }

    fn begin(&self, fault: &Fault) {
        for backend in fault.affected_backends(&self.fleet, self.seed) {
            self.backends.kill(backend);
            self.discovery.remove(backend);
        }
        if matches!(fault, Fault::CounterLost { .. }) || self.affects_counter_zone(fault) {
            self.counter.stop_answering();
        }
    }

    async fn end(&self, fault: &Fault) {
        for backend in fault.affected_backends(&self.fleet, self.seed) {
            if let Some(started_ms) = self.backends.restart(backend).await {
                self.discovery.add_back(backend, started_ms);
            }
        }
        if matches!(fault, Fault::CounterLost { .. }) {
            self.counter.resume_empty();
        }
    }
}
