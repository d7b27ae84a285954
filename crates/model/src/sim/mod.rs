//! The simulation: an event queue and the state that the events change.

mod attempts;
mod backends;
mod clients;
mod counter_calls;
mod events;
mod faults;
mod inbox;
mod limiters;
mod outcome;
mod requests;
mod scenario;

use std::collections::HashMap;

use rand::Rng;
use sedgestack_fleet::{BackendLocation, Fleet, Micros};

use crate::counter::Counter;
use crate::demand::Demand;
use crate::faults::{ConfigurationChange, Fault};
use crate::gauges::Second;
use crate::score::{Scorer, SECOND};
use crate::streams::{mix_bits, stream, Concern, Stream};

use attempts::Attempt;
use backends::{BackendHost, ScopedKey};
use clients::Try;
use events::{Event, EventQueue};
use limiters::SimulatedLimiter;

pub use backends::{attempt_noise, backend_speeds, REPEAT_WORK};
pub use outcome::{ObservedOutcome, ObservedRequest, RunCounts, RunOutcome};
pub use scenario::{Scenario, Step};

/// When the load begins, from the beginning of a run. The time before is for limiters to receive the endpoint list.
const START: Micros = 1_000_000;

/// The state of a run.
struct World<'a> {
    fleet: &'a Fleet,
    demand: &'a Demand,
    faults: Vec<Fault>,
    changes: Vec<ConfigurationChange>,
    /// Number of `changes` that are active.
    active_changes: usize,
    /// Whether to record the tries that limiters receive.
    record: bool,
    seed: u64,
    now: Micros,
    /// When the load ends.
    end: Micros,
    queue: EventQueue,
    digest: u64,
    locations: Vec<BackendLocation>,
    /// The zone of each limiter.
    limiter_zones: Vec<usize>,
    backend_ids: Vec<sedgestack::BackendId>,
    /// The index of the next first try of the demand.
    next_arrival: usize,
    tries: Vec<Try>,
    limiters: Vec<SimulatedLimiter>,
    attempts: Vec<Attempt>,
    backends: Vec<BackendHost>,
    /// Idempotency keys known in a scope, and until when.
    keys: HashMap<ScopedKey, Micros>,
    counter: Counter<u64>,
    /// While the quota counter is lost: when it comes back.
    counter_lost_until: Option<Micros>,
    /// Whether the clients' load balancer considers a limiter down, by limiter.
    known_down: Vec<bool>,
    network: Stream,
    clients: Stream,
    discovery: Stream,
    /// Random stream of the work of attempts, errors, and noise of load reports.
    attempt_draws: Stream,
    scorer: Scorer,
    seconds: Vec<Second>,
    /// Gauges of the second that has not ended yet.
    current_second: Second,
    /// Calls to the quota counter up to the last reading of the gauges.
    last_counter_calls: u64,
    counts: RunCounts,
    observed: Vec<ObservedRequest>,
    observer: &'a mut dyn FnMut(&Step<'_>),
}

/// Runs a scenario until all tries are answered.
pub fn run(scenario: &Scenario<'_>, seed: u64) -> RunOutcome {
    run_observed(scenario, seed, &mut |_| {})
}

/// Like [`run`], but calls `observer` for each step of each limiter, in order. The observer does not affect the run.
pub fn run_observed(scenario: &Scenario<'_>, seed: u64, observer: &mut dyn FnMut(&Step<'_>)) -> RunOutcome {
    let mut world = World::new(scenario, seed, observer);
    world.start_backends();
    world.start_limiters();
    world.schedule(scenario);
    while let Some(scheduled) = world.queue.pop() {
        world.now = scheduled.at;
        world.mix_into_digest(&scheduled.event);
        world.apply(scheduled.event);
    }
    world.finish()
}

impl<'a> World<'a> {
    /// Creates the state of a run before any event.
    fn new(scenario: &Scenario<'a>, seed: u64, observer: &'a mut dyn FnMut(&Step<'_>)) -> World<'a> {
        let Scenario { fleet, demand, .. } = *scenario;
        let locations = fleet.backend_locations();
        let limiter_zones = fleet.limiter_zones();
        // Allows for retries by clients and for tries with more than one attempt.
        let expected_count = demand.arrivals.len() * 5 / 4;
        World {
            fleet,
            demand,
            faults: scenario.faults.clone(),
            changes: scenario.changes.clone(),
            active_changes: 0,
            record: scenario.record,
            seed,
            now: 0,
            end: START + demand.length,
            queue: EventQueue::default(),
            digest: seed,
            backend_ids: (0..locations.len()).map(|backend| format!("w{backend}").into()).collect(),
            backends: Vec::with_capacity(locations.len()),
            locations,
            next_arrival: 0,
            tries: Vec::with_capacity(expected_count),
            limiters: Vec::with_capacity(limiter_zones.len()),
            attempts: Vec::with_capacity(expected_count),
            keys: HashMap::new(),
            counter: Counter::new(&fleet.counter),
            counter_lost_until: None,
            known_down: vec![false; limiter_zones.len()],
            limiter_zones,
            network: stream(seed, Concern::Network, 0),
            clients: stream(seed, Concern::Clients, u64::MAX),
            discovery: stream(seed, Concern::Discovery, 0),
            attempt_draws: stream(seed, Concern::Attempts, 0),
            scorer: Scorer::new(fleet, START),
            seconds: Vec::new(),
            current_second: Second::default(),
            last_counter_calls: 0,
            counts: RunCounts::default(),
            observed: Vec::new(),
            observer,
        }
    }

    /// Schedules the events that the scenario determines: faults, configuration changes, and the first try.
    fn schedule(&mut self, scenario: &Scenario<'_>) {
        for (index, fault) in scenario.faults.iter().enumerate() {
            let index = index as u32;
            self.at(START + fault.starts_at(), Event::FaultBegins { fault: index });
            self.at(START + fault.ends_at(), Event::FaultEnds { fault: index });
        }
        for (index, change) in scenario.changes.iter().enumerate() {
            self.at(START + change.at, Event::ConfigurationChange { change: index as u32 });
        }
        if let Some(first) = scenario.demand.arrivals.first() {
            self.at(START + first.at, Event::FirstTry);
        }
        self.at(START + SECOND, Event::Gauge);
    }

    /// Schedules an event at the given time, or now if that has passed.
    fn at(&mut self, at: Micros, event: Event) {
        self.queue.push(at.max(self.now), event);
    }

    /// Adds an event to the digest of the run: its time, its kind and its subject.
    fn mix_into_digest(&mut self, event: &Event) {
        let fingerprint = event.fingerprint(self.next_arrival);
        self.digest = mix_bits(self.digest ^ mix_bits(self.now ^ mix_bits(fingerprint)));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::FirstTry => self.send_first_try(),
            Event::ClientRetry { request } => self.send_client_retry(request),
            Event::AtLimiter { request } => self.on_request(request),
            Event::ClientTimesOut { request } => self.on_client_timeout(request),
            Event::AtClient { request, answer } => self.on_answer_at_client(request, answer),
            Event::Handle { limiter, incarnation } => self.handle_inbox(limiter, incarnation),
            Event::Timer { limiter, incarnation } => self.on_timer(limiter, incarnation),
            Event::AtBackend { attempt } => self.on_attempt_at_backend(attempt),
            Event::BackendDue { backend, wakeup } => self.on_backend_due(backend, wakeup),
            Event::AttemptEnds { attempt, outcome } => self.on_attempt_ended(attempt, outcome),
            Event::AttemptTimesOut { attempt } => self.on_attempt_timeout(attempt),
            Event::CancelAtBackend { attempt } => self.on_cancel_at_backend(attempt),
            Event::AtCounter { limiter, incarnation, call } => {
                self.on_call_at_counter(limiter, incarnation, call);
            }
            Event::CounterReplies { limiter, incarnation, name, serial, total } => {
                self.on_counter_reply(limiter, incarnation, name, serial, total);
            }
            Event::CounterTimesOut { limiter, incarnation, name, serial } => {
                self.on_counter_timeout(limiter, incarnation, name, serial);
            }
            Event::EndpointChanges { limiter, backend, version } => {
                self.on_endpoint_changed(limiter, backend, version);
            }
            Event::LoadReport { backend } => self.renew_load_report(backend),
            Event::ConfigurationChange { change } => self.activate_change(change),
            Event::FaultBegins { fault } => self.begin_fault(fault),
            Event::FaultEnds { fault } => self.end_fault(fault),
            Event::LoadBalancerDetects { limiter, is_down, incarnation } => {
                self.on_limiter_state_detected(limiter, is_down, incarnation);
            }
            Event::CounterBack => self.on_counter_back(),
            Event::Gauge => self.read_gauges(),
        }
    }

    /// Draws the one-way network delay between a limiter and a machine in `zone`.
    fn one_way_delay(&mut self, limiter: u32, zone: usize) -> Micros {
        let delays = &self.fleet.delays;
        let is_same = self.limiter_zones[limiter as usize] == zone;
        let mean = if is_same { delays.same_zone } else { delays.cross_zone };
        self.jittered(mean)
    }

    /// Draws a network delay with the given mean.
    fn jittered(&mut self, mean: Micros) -> Micros {
        let jitter = self.fleet.delays.jitter;
        let factor = 1.0 + jitter * (2.0 * self.network.random::<f64>() - 1.0);
        ((mean as f64 * factor) as Micros).max(1)
    }

    /// Whether tries may still be open. Until then, gauges and load reports continue.
    fn is_running(&self) -> bool {
        // A first try and its retry take at most a deadline each, and the backoff between them.
        let max_deadline = self.fleet.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        self.now < self.end + 2 * max_deadline + self.fleet.clients.backoff
    }

    /// Completes the gauges of the past second.
    fn read_gauges(&mut self) {
        let mut second = std::mem::take(&mut self.current_second);
        self.gauge_backends(&mut second);
        self.gauge_limiters(&mut second);
        let (calls, _) = self.counter.calls();
        second.counter = (calls - self.last_counter_calls) as f64 / self.fleet.counter.calls_per_second;
        self.last_counter_calls = calls;
        second.attempts_by_zone.resize(self.fleet.zones.len(), 0);
        if self.now <= self.end {
            self.seconds.push(second);
        }
        if self.is_running() {
            self.at(self.now + SECOND, Event::Gauge);
        }
    }

    fn finish(mut self) -> RunOutcome {
        self.counts.unanswered = self.tries.iter().filter(|client_try| client_try.is_open).count() as u64;
        self.counts.attempts = self.attempts.len() as u64;
        RunOutcome {
            score: self.scorer.finish(),
            seconds: self.seconds,
            counts: self.counts,
            observed: self.observed,
            digest: self.digest,
            events: self.queue.scheduled(),
        }
    }
}
