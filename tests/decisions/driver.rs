//! A closed loop around limiters: their actions come back to them as outcomes, replies and timers. All draws
//! are seeded, so the first decision that differs changes everything after it.

use std::collections::BTreeMap;

use sedgestack::*;

use crate::backends::{AttemptEnd, AttemptParams, Backend, MILLISECOND};
use crate::counter::Counter;
use crate::draws::Rng;
use crate::recording::{Recorder, Recording};
use crate::runs::Run;

const START: Micros = 1_000_000_000;
const CHECKPOINTS: u64 = 16;
/// Number of customers that send repeatedly, and the first id of those that send only once.
const REGULAR_CUSTOMERS: u64 = 24;
const ONE_TIME_CUSTOMERS: u64 = 1_000_000;
/// Shares of requests: from one-time customers; with another plan or spread than usual for their customer;
/// abandoned before their timeout; and, among those that were rejected, sent again by the client.
const ONE_TIME_SHARE: f64 = 0.03;
const UNUSUAL_SHARE: f64 = 0.01;
const ABANDONED_SHARE: f64 = 0.05;
const CLIENT_RETRY_SHARE: f64 = 0.3;
/// Clients do not retry after a longer wait than this.
const MAX_CLIENT_WAIT: Micros = 5_000 * MILLISECOND;
/// Shares of attempts: answered by a stream; canceled after their client has left.
const STREAM_SHARE: f64 = 0.04;
const CANCELED_SHARE: f64 = 0.5;
/// Mean time between unusual or invalid events.
const NOISE_INTERVAL: Micros = 80 * MILLISECOND;
/// The load is doubled in every other phase of this length.
const LOAD_PHASE: Micros = 1_700 * MILLISECOND;

/// A request as its client intends it; class and plan are indices in the initial settings.
#[derive(Clone, Copy)]
struct RequestSpec {
    class: usize,
    plan: usize,
    customer: CustomerId,
    units: f64,
    client_timeout: Micros,
    spread: u32,
}

/// A request that was sent to a limiter.
struct TrackedRequest {
    limiter: usize,
    spec: RequestSpec,
    attempts: u32,
    /// Whether the client has an answer or has left.
    is_answered: bool,
    client_left: bool,
}

#[derive(Clone, Copy)]
struct Attempt {
    request: RequestId,
    number: u32,
    backend: usize,
    end: AttemptEnd,
}

enum Occurrence {
    Arrival,
    ClientRetry(RequestSpec),
    ClientLeaves(RequestId),
    StreamStarts(Attempt),
    AttemptEnds(Attempt),
    /// Delivers an event to a limiter.
    Event(usize, Event),
    ListReply(usize),
    ListChange,
    Cordon,
    VersionChange,
    Noise,
    Handle(usize),
}

/// A limiter under test and the state of its environment.
struct SimulatedLimiter {
    decisions: Limiter,
    inbox: Vec<Event>,
    handle_scheduled: bool,
    subscribed: bool,
    list_version: u64,
    /// Indices of the active version, and of the one before it.
    indices: VersionIndices,
    previous_indices: VersionIndices,
}

struct Driver<'a> {
    run: &'a Run,
    now: Micros,
    rng: Rng,
    queue: BTreeMap<(Micros, u64), Occurrence>,
    sequence: u64,
    limiters: Vec<SimulatedLimiter>,
    backends: Vec<Backend>,
    counter: Counter,
    /// Indexed by request id.
    tracked: Vec<TrackedRequest>,
    recorder: Recorder,
}

/// Executes a run to its last step.
pub fn execute(run: &Run) -> Recording {
    let mut driver = Driver::new(run);
    driver.start();
    while driver.recorder.steps() < run.steps {
        let ((at, _), occurrence) = driver.queue.pop_first().expect("arrivals never stop");
        driver.now = at;
        driver.dispatch(occurrence);
    }
    driver.recorder.finish()
}

impl<'a> Driver<'a> {
    fn new(run: &'a Run) -> Driver<'a> {
        let mut rng = Rng::new(run.seed);
        let limiter = |number: u32| {
            let settings = Settings { limiter: number, ..run.settings.clone() };
            let indices = VersionIndices {
                classes: (0..settings.classes.len()).collect(),
                plans: (0..settings.plans.len()).collect(),
            };
            SimulatedLimiter {
                decisions: Limiter::new(settings, run.seed ^ u64::from(number)).expect("valid settings"),
                inbox: Vec::new(),
                handle_scheduled: false,
                subscribed: false,
                list_version: 0,
                indices: indices.clone(),
                previous_indices: indices,
            }
        };
        let limiters = (0..run.simulated).map(limiter).collect();
        let backends = (0..run.backends).map(|n| Backend::new(n, run.slots, &mut rng)).collect();
        Driver {
            run,
            now: START,
            rng,
            queue: BTreeMap::new(),
            sequence: 0,
            limiters,
            backends,
            counter: Counter::default(),
            tracked: Vec::new(),
            recorder: Recorder::new(run.name, run.steps / CHECKPOINTS),
        }
    }

    fn start(&mut self) {
        for limiter in 0..self.limiters.len() {
            if self.run.settings.discovery == Discovery::Push {
                self.limiters[limiter].subscribed = true;
                self.deliver_list(limiter, None);
            } else {
                self.deliver(limiter, Event::Timer);
            }
        }
        self.schedule(MILLISECOND, Occurrence::Arrival);
        self.schedule(NOISE_INTERVAL, Occurrence::Noise);
        self.schedule_random(self.run.list_change_interval, Occurrence::ListChange);
        self.schedule_random(self.run.cordon_interval, Occurrence::Cordon);
        self.schedule_random(self.run.version_change_interval, Occurrence::VersionChange);
    }

    fn schedule(&mut self, wait: Micros, occurrence: Occurrence) {
        self.sequence += 1;
        self.queue.insert((self.now + wait, self.sequence), occurrence);
    }

    /// Schedules an occurrence after a random time, `mean` on average; never if there is no mean.
    fn schedule_random(&mut self, mean: Option<Micros>, occurrence: Occurrence) {
        if let Some(mean) = mean {
            let wait = 1 + self.rng.below(2 * mean);
            self.schedule(wait, occurrence);
        }
    }

    /// Converts a duration from the driver's clock to the limiters' clock.
    fn to_limiter_time(&self, span: Micros) -> Micros {
        span * self.run.scale
    }

    /// Converts a duration from the limiters' clock to the driver's clock, rounded up.
    fn to_driver_time(&self, span: Micros) -> Micros {
        span.div_ceil(self.run.scale)
    }

    /// Puts an event into a limiter's inbox, which is handled at the next tick.
    fn deliver(&mut self, limiter: usize, event: Event) {
        let tick = self.to_driver_time(self.run.settings.tick);
        self.limiters[limiter].inbox.push(event);
        if !std::mem::replace(&mut self.limiters[limiter].handle_scheduled, true) {
            self.schedule(tick - self.now % tick, Occurrence::Handle(limiter));
        }
    }

    fn random_limiter(&mut self) -> usize {
        self.rng.below(self.limiters.len() as u64) as usize
    }

    fn random_backend(&mut self) -> usize {
        self.rng.below(self.backends.len() as u64) as usize
    }

    fn dispatch(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Arrival => self.on_arrival(),
            Occurrence::ClientRetry(spec) => self.submit_request(spec),
            Occurrence::ClientLeaves(request) => self.on_client_leaves(request),
            Occurrence::StreamStarts(attempt) => self.on_stream_started(attempt),
            Occurrence::AttemptEnds(attempt) => self.on_attempt_ended(attempt),
            Occurrence::Event(limiter, event) => self.deliver(limiter, event),
            Occurrence::ListReply(limiter) => self.on_list_reply(limiter),
            Occurrence::ListChange => self.change_list(),
            Occurrence::Cordon => self.change_cordon(),
            Occurrence::VersionChange => self.change_version(),
            Occurrence::Noise => self.send_noise(),
            Occurrence::Handle(limiter) => self.handle(limiter),
        }
    }

    fn on_arrival(&mut self) {
        let spec = self.random_spec();
        self.submit_request(spec);
        let is_doubled = (self.now / LOAD_PHASE).is_multiple_of(2);
        let interval = if is_doubled { self.run.arrival_interval / 2 } else { self.run.arrival_interval };
        self.schedule_random(Some(interval), Occurrence::Arrival);
    }

    fn random_spec(&mut self) -> RequestSpec {
        let (classes, plans) = (self.run.settings.classes.len(), self.run.settings.plans.len());
        let limiters = u64::from(self.run.settings.limiters);
        let is_one_time = self.rng.chance(ONE_TIME_SHARE);
        let customer = if is_one_time {
            ONE_TIME_CUSTOMERS + self.rng.below(ONE_TIME_CUSTOMERS)
        } else {
            self.rng.below(REGULAR_CUSTOMERS)
        };
        let offset = u64::from(self.rng.chance(UNUSUAL_SHARE));
        RequestSpec {
            class: self.rng.below(classes as u64) as usize,
            plan: (customer + offset) as usize % plans,
            customer,
            units: self.rng.pick(&[0.5, 1.0, 1.0, 1.0, 2.0, 3.7]),
            client_timeout: self.rng.between(80, 1_500) * MILLISECOND,
            spread: (1 + (customer + offset) % limiters.min(12)) as u32,
        }
    }

    fn submit_request(&mut self, spec: RequestSpec) {
        let limiter = self.random_limiter();
        let id = self.tracked.len() as RequestId;
        self.tracked.push(TrackedRequest {
            limiter,
            spec,
            attempts: 0,
            is_answered: false,
            client_left: false,
        });
        let indices = &self.limiters[limiter].indices;
        let request = Request {
            id,
            class: indices.classes[spec.class],
            plan: indices.plans[spec.plan],
            customer: spec.customer,
            units: spec.units,
            timeout: self.to_limiter_time(spec.client_timeout),
            spread: spec.spread,
        };
        self.deliver(limiter, Event::Request(request));
        let leaves_early = self.rng.chance(ABANDONED_SHARE);
        let wait = if leaves_early { self.rng.below(spec.client_timeout) } else { spec.client_timeout };
        self.schedule(wait, Occurrence::ClientLeaves(id));
    }

    fn on_client_leaves(&mut self, request: RequestId) {
        let tracked = &mut self.tracked[request as usize];
        if !tracked.is_answered {
            (tracked.is_answered, tracked.client_left) = (true, true);
            let limiter = tracked.limiter;
            self.deliver(limiter, Event::Abandoned { request });
        }
    }

    /// Handles the end of a request without an answer from a backend; its client may retry.
    fn on_request_ended(&mut self, request: RequestId, retry_after: Option<Micros>) {
        let tracked = &mut self.tracked[request as usize];
        let is_answered = std::mem::replace(&mut tracked.is_answered, true);
        let spec = tracked.spec;
        if let Some(wait) = retry_after.filter(|_| !is_answered) {
            if self.rng.chance(CLIENT_RETRY_SHARE) {
                self.schedule(wait + MILLISECOND, Occurrence::ClientRetry(spec));
            }
        }
    }

    fn start_attempt(
        &mut self,
        request: RequestId,
        backend: &BackendId,
        timeout: Option<Micros>,
        write_within: Option<Micros>,
    ) {
        let position = self.backends.iter().position(|b| b.name == *backend);
        let backend = position.expect("only listed backends are chosen");
        let tracked = &mut self.tracked[request as usize];
        let number = tracked.attempts;
        tracked.attempts += 1;
        let params = AttemptParams { units: tracked.spec.units, timeout, write_within };
        let (service_time, failure_share) = (self.run.service_time, self.run.failure_share);
        let end =
            self.backends[backend].attempt_end(self.now, params, service_time, failure_share, &mut self.rng);
        self.backends[backend].in_flight += 1;
        let attempt = Attempt { request, number, backend, end };
        if end.outcome == Outcome::Ok && self.rng.chance(STREAM_SHARE) {
            self.schedule(end.latency / 2, Occurrence::StreamStarts(attempt));
        }
        self.schedule(end.latency, Occurrence::AttemptEnds(attempt));
    }

    fn on_stream_started(&mut self, attempt: Attempt) {
        let Attempt { request, number, end, .. } = attempt;
        let tracked = &mut self.tracked[request as usize];
        if !tracked.is_answered {
            tracked.is_answered = true;
            let limiter = tracked.limiter;
            let latency = self.to_limiter_time(end.latency / 2);
            self.deliver(limiter, Event::StreamStarted { request, attempt: number, latency });
        }
    }

    fn on_attempt_ended(&mut self, attempt: Attempt) {
        let Attempt { request, number, backend, end } = attempt;
        self.backends[backend].in_flight -= 1;
        let tracked = &mut self.tracked[request as usize];
        let is_canceled = tracked.client_left && self.rng.chance(CANCELED_SHARE);
        let outcome = if is_canceled { Outcome::Canceled } else { end.outcome };
        tracked.is_answered |= outcome == Outcome::Ok;
        let (limiter, is_finished, units) = (tracked.limiter, tracked.is_answered, tracked.spec.units);
        let has_actual_cost = self.run.settings.actual_cost_reported && outcome == Outcome::Ok;
        let metered = self.rng.chance(0.05).then(|| self.rng.fraction() * 1.5);
        let cost = has_actual_cost.then(|| units * (0.3 + 1.6 * self.rng.fraction()));
        let report = self.backends[backend].report(end.latency, &mut self.rng);
        let latency = self.to_limiter_time(end.latency);
        let end = AttemptResult {
            request,
            attempt: number,
            outcome,
            latency,
            request_done: is_finished,
            metered_usage: metered,
            actual_units: cost,
            report,
        };
        self.deliver(limiter, Event::AttemptEnded(end));
    }

    /// Sends a limiter an endpoint list with one backend, or with all that are not gone.
    fn deliver_list(&mut self, limiter: usize, backend: Option<usize>) {
        if !self.limiters[limiter].subscribed {
            return;
        }
        let is_listed = |b: &&Backend| b.state != BackendState::Gone;
        let scale = self.run.scale;
        let list: Vec<Endpoint> = match backend {
            Some(backend) => vec![self.backends[backend].endpoint(scale)],
            None => self.backends.iter().filter(is_listed).map(|b| b.endpoint(scale)).collect(),
        };
        self.limiters[limiter].list_version += 1;
        let version = self.limiters[limiter].list_version;
        self.deliver(
            limiter,
            Event::EndpointsChanged { version, complete: backend.is_none(), endpoints: list.into() },
        );
    }

    fn on_list_reply(&mut self, limiter: usize) {
        if self.rng.chance(0.3) {
            self.deliver(limiter, Event::DiscoveryFailed);
        } else {
            self.limiters[limiter].subscribed = true;
            self.deliver_list(limiter, None);
        }
    }

    fn change_list(&mut self) {
        let drawn = self.random_backend();
        // Backends out of service change state more often, so that most backends are in service most of the
        // time.
        let missing = self.backends.iter().position(|b| b.state != BackendState::InService);
        let backend = missing.filter(|_| self.rng.chance(0.6)).unwrap_or(drawn);
        if self.rng.chance(0.2) {
            self.backends[backend].failing_until = self.now + 800 * MILLISECOND;
        } else {
            self.backends[backend].advance_state(self.now, &mut self.rng);
        }
        for limiter in 0..self.limiters.len() {
            let only = self.rng.chance(0.8).then_some(backend);
            self.deliver_list(limiter, only);
        }
        if self.run.settings.discovery != Discovery::Push && self.rng.chance(0.1) {
            let limiter = self.random_limiter();
            if std::mem::replace(&mut self.limiters[limiter].subscribed, false) {
                self.deliver(limiter, Event::DiscoveryFailed);
            }
        }
        self.schedule_random(self.run.list_change_interval, Occurrence::ListChange);
    }

    fn change_cordon(&mut self) {
        let number = self.random_backend();
        let is_listed_backend = !self.rng.chance(0.05);
        let backend: BackendId =
            if is_listed_backend { self.backends[number].name.clone() } else { "unlisted".into() };
        let is_cordoned = self.rng.chance(0.25);
        for limiter in 0..self.limiters.len() {
            self.deliver(limiter, Event::Cordon { backend: backend.clone(), cordoned: is_cordoned });
        }
        self.schedule_random(self.run.cordon_interval, Occurrence::Cordon);
    }

    fn change_version(&mut self) {
        let (mut classes, mut plans) = (self.run.settings.classes.clone(), self.run.settings.plans.clone());
        // One of five changes returns to the initial settings.
        if !self.rng.chance(0.2) {
            for class in &mut classes {
                class.latency_objective = class.latency_objective * self.rng.pick(&[2, 3, 3, 3, 4, 6]) / 3;
                class.late_weight_share = self.rng.pick(&[0.0, 0.0, 0.2]);
            }
            for plan in &mut plans {
                plan.rate *= self.rng.pick(&[0.3, 1.0, 1.0, 1.7]);
                plan.burst *= self.rng.pick(&[0.5, 1.0, 1.0, 2.0]);
                plan.concurrency_limit += self.rng.pick(&[0, 0, 2]) * u32::from(plan.concurrency_limit > 0);
                plan.ceiling_rate *= self.rng.pick(&[0.6, 1.0, 1.0, 1.5]);
            }
        }
        match self.rng.below(8) {
            0 => plans[0].rate = f64::NAN,
            1 => plans[0].name = "unknown".into(),
            2 => classes[0].priority_weight += 1.0,
            _ => {}
        }
        for limiter in 0..self.limiters.len() {
            self.adopt(limiter, &classes, &plans);
        }
        self.schedule_random(self.run.version_change_interval, Occurrence::VersionChange);
    }

    fn adopt(&mut self, number: usize, classes: &[Class], plans: &[Plan]) {
        // Requests received under the old version reach the limiter before the new version does.
        self.handle(number);
        let held_longer = self.rng.chance(0.5);
        let limiter = &mut self.limiters[number];
        let adopted = limiter.decisions.adopt_version(classes, plans);
        self.recorder.adopted(&adopted);
        if let Ok(indices) = adopted {
            limiter.previous_indices = std::mem::replace(&mut limiter.indices, indices);
        }
        let held = [&limiter.indices, &limiter.previous_indices];
        let all_retired = limiter.decisions.retire_versions(if held_longer { &held } else { &held[..1] });
        self.recorder.retired(all_retired, limiter.decisions.class_and_plan_counts());
    }

    /// Sends an event that a limiter should ignore or reject.
    fn send_noise(&mut self) {
        let limiter = self.random_limiter();
        let backend = self.random_backend();
        let backend = &self.backends[backend];
        let report = LoadReport { utilization: Some(0.9), ..LoadReport::default() };
        let unknown = RequestId::MAX;
        let event = match self.rng.below(9) {
            0 => Event::Timer,
            1 => Event::PeerMessage { from: 1, bytes: vec![1, 2, 3] },
            2 => Event::HealthCheckEnded {
                backend: backend.name.clone(),
                outcome: Outcome::Ok,
                latency: 1,
                report,
            },
            3 => Event::StreamStarted { request: unknown, attempt: 0, latency: 1 },
            4 => Event::Abandoned { request: unknown },
            5 => Event::CounterReplied { name: 1, outcome: Outcome::Ok, total: Some(1e6) },
            6 => Event::EndpointsChanged { version: 0, complete: true, endpoints: [].into() },
            7 => return self.send_invalid_request(),
            _ => Event::DiscoveryFailed,
        };
        if matches!(event, Event::DiscoveryFailed) {
            self.limiters[limiter].subscribed = self.run.settings.discovery == Discovery::Push;
        }
        self.deliver(limiter, event);
        self.schedule_random(Some(NOISE_INTERVAL), Occurrence::Noise);
    }

    /// Sends a request with an unknown class, invalid units or no time left, sometimes twice.
    fn send_invalid_request(&mut self) {
        let limiter = self.random_limiter();
        let spec = self.random_spec();
        let indices = self.limiters[limiter].indices.clone();
        let mut request = Request {
            id: self.tracked.len() as RequestId,
            class: indices.classes[spec.class],
            plan: indices.plans[spec.plan],
            customer: spec.customer,
            units: spec.units,
            timeout: self.to_limiter_time(spec.client_timeout),
            spread: 0,
        };
        match self.rng.below(4) {
            0 => request.class = usize::MAX,
            1 => request.units = f64::NAN,
            2 => request.units = -1.0,
            _ => request.timeout = 0,
        }
        let tracked = TrackedRequest { limiter, spec, attempts: 0, is_answered: false, client_left: false };
        self.tracked.push(tracked);
        self.deliver(limiter, Event::Request(request.clone()));
        if self.rng.chance(0.3) {
            self.deliver(limiter, Event::Request(request));
        }
        self.schedule_random(Some(NOISE_INTERVAL), Occurrence::Noise);
    }

    fn handle(&mut self, number: usize) {
        let limiter = &mut self.limiters[number];
        limiter.handle_scheduled = false;
        let events = std::mem::take(&mut limiter.inbox);
        let now = self.now * self.run.scale;
        let actions = limiter.decisions.handle(now, &events);
        let counts = limiter.decisions.backend_counts();
        self.recorder.step(number as u32, now, &actions, Some((counts.listed, counts.avoided)));
        for action in actions {
            self.carry_out(number, action);
        }
    }

    fn carry_out(&mut self, limiter: usize, action: Action) {
        match action {
            Action::StartAttempt { request, backend, timeout, write_within } => {
                let to_driver = |span: Option<Micros>| span.map(|span| self.to_driver_time(span));
                self.start_attempt(request, &backend, to_driver(timeout), to_driver(write_within));
            }
            Action::Reject { request, retry_after } => {
                let wait = self.to_driver_time(retry_after);
                self.on_request_ended(request, Some(wait).filter(|wait| *wait <= MAX_CLIENT_WAIT));
            }
            Action::Fail { request } => self.on_request_ended(request, None),
            Action::CallCounter { name, amount, time_to_live } => {
                self.call_counter(limiter, name, amount, self.to_driver_time(time_to_live));
            }
            Action::Subscribe => {
                let wait = self.rng.between(MILLISECOND, 20 * MILLISECOND);
                self.schedule(wait, Occurrence::ListReply(limiter));
            }
            Action::SetTimer { after } => {
                self.schedule(self.to_driver_time(after), Occurrence::Event(limiter, Event::Timer));
            }
            // Limiters do not return these actions today; the digest shows if that changes.
            Action::CancelAttempt { .. }
            | Action::HealthCheck { .. }
            | Action::SendToPeers { .. }
            | Action::Log { .. } => {}
        }
    }

    fn call_counter(&mut self, limiter: usize, name: CounterName, amount: f64, time_to_live: Micros) {
        let timeout = self.run.settings.counter_timeout.expect("the counter is called only if there is one");
        let (behavior, rng) = (self.run.counter, &mut self.rng);
        let answer = self.counter.call(self.now, (name, amount, time_to_live), behavior, timeout, rng);
        let (outcome, total) = (answer.outcome, answer.total);
        let reply = Event::CounterReplied { name, outcome, total };
        self.schedule(answer.delay, Occurrence::Event(limiter, reply));
    }
}
