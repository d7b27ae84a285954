//! Backends of a run: processes, connections, idempotency keys, load reports, and answers to attempts.

use rand::Rng;
use rand_distr::{Distribution, Normal};
use sedgestack::{LoadReport, Outcome};
use sedgestack_fleet::{BackendKind, BackendLocation, Class, Fleet, Idempotency, KeyScope, Micros};

use super::events::Event;
use super::World;
use crate::backend::{Admission, FinishedJob, Job, SimulatedBackend};
use crate::gauges::Second;
use crate::streams::{stream, Concern, Stream};

/// Work of a request whose idempotency key is known, in core-microseconds: looking up and sending the earlier answer.
pub const REPEAT_WORK: f64 = 500.0;
/// Minimum factor by which the speed of a backend differs from that of its kind.
const MIN_SPEED_FACTOR: f64 = 0.5;
/// Maximum factor by which the speed of a backend differs from that of its kind.
const MAX_SPEED_FACTOR: f64 = 2.0;
/// Minimum factor by which the work of an attempt differs from that of its request.
const MIN_NOISE: f64 = 0.2;
/// Maximum factor by which the work of an attempt differs from that of its request.
const MAX_NOISE: f64 = 3.0;
/// Random stream of the speeds of backends.
const SPEED_STREAM: u64 = 0;
/// Random stream of the times of the first load reports.
const PHASE_STREAM: u64 = 1;

/// An idempotency key and where it is known: in a pod, in a zone, or everywhere.
#[derive(PartialEq, Eq, Hash)]
pub struct ScopedKey {
    /// The key, which is the same for a first try and its retry.
    key: u64,
    /// The number of the pod or zone; 0 if the key is known everywhere.
    scope: u32,
}

/// A load report that answers carry from `visible_from` on.
struct PendingReport {
    visible_from: Micros,
    report: LoadReport,
}

/// The machine of a backend.
pub struct BackendHost {
    /// The backend process; `None` while it is not running.
    pub process: Option<SimulatedBackend>,
    /// Whether the machine is unreachable: connections stay open, but no messages arrive or leave.
    pub is_silent: bool,
    /// Incremented when a crash resets the connections and at each restart. Connections to earlier incarnations are
    /// dead.
    pub incarnation: u32,
    /// When the process was started, if during the run.
    pub started_at: Option<Micros>,
    /// Whether service discovery lists the backend as in service.
    pub is_listed: bool,
    /// The version of the endpoint in service discovery.
    pub version: u64,
    speed: f64,
    connections: u32,
    /// Number of the latest scheduled wake-up. Earlier ones are void.
    wakeup: u64,
    /// Busy core-microseconds of the process at the last reading of the gauges.
    last_busy: f64,
    /// The load report that answers carry now.
    visible_report: LoadReport,
    pending_report: Option<PendingReport>,
}

impl BackendHost {
    fn new(kind: &BackendKind, fleet: &Fleet, speed: f64) -> BackendHost {
        BackendHost {
            process: Some(SimulatedBackend::new(kind, &fleet.rules, speed, None, 0)),
            is_silent: false,
            incarnation: 0,
            started_at: None,
            is_listed: true,
            version: 0,
            speed,
            connections: 0,
            wakeup: 0,
            last_busy: 0.0,
            visible_report: LoadReport::default(),
            pending_report: None,
        }
    }

    /// Returns the load report that an answer carries.
    fn report_at(&mut self, now: Micros) -> LoadReport {
        if let Some(pending) = self.pending_report.take_if(|pending| pending.visible_from <= now) {
            self.visible_report = pending.report;
        }
        self.visible_report
    }
}

/// Draws the factor by which the work of an attempt differs from that of its request.
pub fn attempt_noise(class: &Class, rng: &mut Stream) -> f64 {
    if class.attempt_cv <= 0.0 {
        return 1.0;
    }
    let noise = Normal::new(1.0, class.attempt_cv).expect("a validated variation is finite");
    noise.sample(rng).clamp(MIN_NOISE, MAX_NOISE)
}

/// Draws the speeds of all backends. The same seed gives the same speeds in the model and in rehearsals.
pub fn backend_speeds(fleet: &Fleet, seed: u64) -> Vec<f64> {
    let mut rng = stream(seed, Concern::Backends, SPEED_STREAM);
    let draw = |location: &BackendLocation| {
        let kind = &fleet.backend_kinds[location.kind];
        let speed_factor = Normal::new(1.0, kind.speed_cv).expect("a validated variation is finite");
        kind.speed * speed_factor.sample(&mut rng).clamp(MIN_SPEED_FACTOR, MAX_SPEED_FACTOR)
    };
    fleet.backend_locations().iter().map(draw).collect()
}

impl<'a> World<'a> {
    fn kind_of(&self, backend: u32) -> &'a BackendKind {
        &self.fleet.backend_kinds[self.locations[backend as usize].kind]
    }

    pub(super) fn start_backends(&mut self) {
        let mut rng = stream(self.seed, Concern::Backends, PHASE_STREAM);
        for (index, speed) in backend_speeds(self.fleet, self.seed).into_iter().enumerate() {
            let backend = index as u32;
            let kind = self.kind_of(backend);
            let phase = rng.random_range(0..kind.report_interval);
            self.backends.push(BackendHost::new(kind, self.fleet, speed));
            self.at(phase, Event::LoadReport { backend });
        }
    }

    /// Opens a connection to a backend. Returns false if the backend has reached its maximum number of connections.
    pub(super) fn open_connection(&mut self, backend: u32) -> bool {
        let max_connections = self.kind_of(backend).connections;
        let host = &mut self.backends[backend as usize];
        let has_capacity = host.connections < max_connections;
        host.connections += u32::from(has_capacity);
        has_capacity
    }

    /// Closes a connection that was opened to the given incarnation of a backend.
    pub(super) fn close_connection(&mut self, backend: u32, incarnation: u32) {
        let host = &mut self.backends[backend as usize];
        if host.incarnation == incarnation {
            host.connections = host.connections.saturating_sub(1);
        }
    }

    /// Handles an attempt that a backend has received completely.
    pub(super) fn on_attempt_at_backend(&mut self, index: u32) {
        let attempt = &self.attempts[index as usize];
        let (backend, deadline) = (attempt.backend, attempt.deadline);
        let host = &self.backends[backend as usize];
        if host.is_silent {
            return;
        }
        if host.incarnation != attempt.backend_incarnation || host.process.is_none() {
            let (limiter, zone) = (attempt.limiter, self.locations[backend as usize].zone);
            let delay = self.one_way_delay(limiter, zone);
            self.at(self.now + delay, Event::AttemptEnds { attempt: index, outcome: Outcome::Reset });
            return;
        }
        let work = self.work_of(index);
        self.record_forwarded(index);
        self.advance_backend(backend);
        let process = self.backends[backend as usize].process.as_mut().expect("the process is running");
        match process.offer(Job { id: u64::from(index), work, expires: deadline }) {
            Admission::Started | Admission::Queued => self.schedule_wakeup(backend),
            Admission::QueueFull => {
                self.current_second.backend_rejections += 1;
                self.send_back(index, Outcome::Rejected, self.now);
            }
            Admission::Crashed => {
                self.counts.backend_crashes += 1;
                self.kill_backend(backend);
            }
        }
    }

    /// Returns the work of an attempt: that of its request with noise, or [`REPEAT_WORK`] if its idempotency key is
    /// known. The handshake of a new connection comes on top.
    fn work_of(&mut self, index: u32) -> f64 {
        let attempt = &self.attempts[index as usize];
        let location = self.locations[attempt.backend as usize];
        let arrival_index = self.tries[attempt.request as usize].arrival;
        let arrival = self.demand.arrivals[arrival_index as usize];
        let class = &self.fleet.classes[arrival.class];
        let mut work = arrival.work * attempt_noise(class, &mut self.attempt_draws);
        if let Idempotency::IdempotencyKey { scope, window } = class.idempotency {
            let scope = match scope {
                KeyScope::Pod => location.pod,
                KeyScope::Zone => location.zone as u32,
                KeyScope::All => 0,
            };
            let key = ScopedKey { key: u64::from(arrival_index), scope };
            let known_until = self.keys.entry(key).or_insert(0);
            if *known_until > self.now {
                work = REPEAT_WORK;
            } else {
                *known_until = self.now + window;
            }
        }
        let handshake = self.fleet.backend_kinds[location.kind].handshake as f64;
        work + if attempt.is_new_connection { handshake } else { 0.0 }
    }

    /// Records that a try reached a backend, unless an earlier attempt of it did.
    fn record_forwarded(&mut self, index: u32) {
        let client_try = &mut self.tries[self.attempts[index as usize].request as usize];
        if !std::mem::replace(&mut client_try.is_forwarded, true) {
            self.scorer.record_forwarded(u64::from(client_try.arrival), self.now);
        }
    }

    /// Advances a backend to the present and sends the answers of the requests that left it.
    fn advance_backend(&mut self, backend: u32) {
        let mut finished = Vec::new();
        if let Some(process) = &mut self.backends[backend as usize].process {
            process.advance(self.now, &mut finished);
        }
        let error_share = self.kind_of(backend).error_share;
        for FinishedJob { id, at, is_completed } in finished {
            let has_error =
                is_completed && error_share > 0.0 && self.attempt_draws.random::<f64>() < error_share;
            let outcome = match (is_completed, has_error) {
                (true, false) => Outcome::Ok,
                (true, true) => Outcome::Error,
                (false, _) => Outcome::Rejected,
            };
            self.send_back(id as u32, outcome, at);
        }
    }

    /// Sends the outcome of an attempt to its limiter, with the current load report.
    fn send_back(&mut self, index: u32, outcome: Outcome, at: Micros) {
        let attempt = &mut self.attempts[index as usize];
        let (backend, limiter) = (attempt.backend, attempt.limiter);
        let host = &mut self.backends[backend as usize];
        if host.is_silent {
            return;
        }
        attempt.report = host.report_at(self.now);
        let delay = self.one_way_delay(limiter, self.locations[backend as usize].zone);
        self.at(at + delay, Event::AttemptEnds { attempt: index, outcome });
    }

    /// Schedules the next wake-up of a backend, which replaces any earlier one.
    fn schedule_wakeup(&mut self, backend: u32) {
        let host = &mut self.backends[backend as usize];
        host.wakeup += 1;
        let wakeup = host.wakeup;
        if let Some(at) = host.process.as_ref().and_then(SimulatedBackend::next_event_at) {
            self.at(at, Event::BackendDue { backend, wakeup });
        }
    }

    pub(super) fn on_backend_due(&mut self, backend: u32, wakeup: u64) {
        if self.backends[backend as usize].wakeup == wakeup {
            self.advance_backend(backend);
            self.schedule_wakeup(backend);
        }
    }

    pub(super) fn on_cancel_at_backend(&mut self, index: u32) {
        let attempt = &self.attempts[index as usize];
        let backend = attempt.backend;
        let host = &self.backends[backend as usize];
        if host.incarnation != attempt.backend_incarnation || host.is_silent {
            return;
        }
        self.advance_backend(backend);
        if let Some(process) = &mut self.backends[backend as usize].process {
            process.cancel(u64::from(index));
        }
        self.schedule_wakeup(backend);
    }

    /// Kills the process of a backend. Its connections are reset, unless the machine is unreachable. Service discovery
    /// detects the failure after a delay.
    pub(super) fn kill_backend(&mut self, backend: u32) {
        let host = &mut self.backends[backend as usize];
        if host.process.take().is_none() {
            return;
        }
        host.wakeup += 1;
        host.last_busy = 0.0;
        let is_silent = host.is_silent;
        // Connections to an unreachable machine stay open.
        if !is_silent {
            host.incarnation += 1;
            host.connections = 0;
            self.reset_connections(backend);
        }
        let discovery = &self.fleet.discovery;
        self.update_endpoint(
            backend,
            false,
            if is_silent { discovery.silent_removal_delay } else { discovery.removal_delay },
        );
    }

    /// Resets the connections of all attempts in flight to a backend.
    fn reset_connections(&mut self, backend: u32) {
        let zone = self.locations[backend as usize].zone;
        for index in 0..self.attempts.len() {
            let attempt = &self.attempts[index];
            if attempt.backend == backend && !attempt.is_ended && attempt.is_connected {
                let delay = self.one_way_delay(attempt.limiter, zone);
                let reset = Event::AttemptEnds { attempt: index as u32, outcome: Outcome::Reset };
                self.at(self.now + delay, reset);
            }
        }
    }

    /// Restarts the process of a backend, which then warms up.
    pub(super) fn restart_backend(&mut self, backend: u32) {
        let kind = self.kind_of(backend);
        let host = &mut self.backends[backend as usize];
        host.is_silent = false;
        host.incarnation += 1;
        host.connections = 0;
        host.started_at = Some(self.now);
        let process = SimulatedBackend::new(kind, &self.fleet.rules, host.speed, Some(self.now), self.now);
        host.process = Some(process);
        host.last_busy = 0.0;
        self.update_endpoint(backend, true, self.fleet.discovery.addition_delay);
    }

    /// Changes a backend's endpoint in service discovery, which notifies each limiter after a delay between the given
    /// bounds.
    fn update_endpoint(&mut self, backend: u32, is_listed: bool, (low, high): (Micros, Micros)) {
        let host = &mut self.backends[backend as usize];
        host.is_listed = is_listed;
        host.version += 1;
        let version = host.version;
        for limiter in 0..self.limiters.len() as u32 {
            let wait = if high > low { self.discovery.random_range(low..=high) } else { low };
            self.at(self.now + wait, Event::EndpointChanges { limiter, backend, version });
        }
    }

    /// Creates a new load report of a backend, which answers carry after a delay.
    pub(super) fn renew_load_report(&mut self, backend: u32) {
        let kind = self.kind_of(backend);
        self.advance_backend(backend);
        let noise = Normal::new(1.0, kind.report_noise).expect("a validated variation is finite");
        let host = &mut self.backends[backend as usize];
        if let Some(process) = &mut host.process {
            let load = process.report();
            let factor = noise.sample(&mut self.attempt_draws).max(0.0);
            if let Some(previous) = host.pending_report.take() {
                host.visible_report = previous.report;
            }
            let report = LoadReport {
                utilization: Some((load.utilization * factor).clamp(0.0, 1.0)),
                latency: Some((load.latency * factor) as Micros),
                ..LoadReport::default()
            };
            let visible_from = self.now + kind.report_delay;
            host.pending_report = Some(PendingReport { visible_from, report });
        }
        self.schedule_wakeup(backend);
        if self.is_running() {
            self.at(self.now + kind.report_interval, Event::LoadReport { backend });
        }
    }

    pub(super) fn gauge_backends(&mut self, second: &mut Second) {
        let (mut busy, mut cores, mut queued, mut queue_capacity) = (0.0, 0.0, 0.0, 0.0);
        for backend in 0..self.backends.len() as u32 {
            self.advance_backend(backend);
            self.schedule_wakeup(backend);
            let kind = self.kind_of(backend);
            let host = &mut self.backends[backend as usize];
            let Some(process) = host.process.as_ref().filter(|_| !host.is_silent) else { continue };
            let own_busy = (process.busy() - host.last_busy) / 1e6;
            host.last_busy = process.busy();
            let own_queued = process.running_and_queued().1 as f64;
            busy += own_busy;
            cores += f64::from(kind.cores);
            queued += own_queued;
            queue_capacity += f64::from(kind.queue_capacity);
            second.backends_up += 1;
            second.busiest_backend = second.busiest_backend.max(own_busy / f64::from(kind.cores));
            let fullness = own_queued / f64::from(kind.queue_capacity.max(1));
            second.fullest_queue = second.fullest_queue.max(fullness);
        }
        second.cores = if cores > 0.0 { busy / cores } else { 0.0 };
        second.queue_use = if queue_capacity > 0.0 { queued / queue_capacity } else { 0.0 };
    }
}
